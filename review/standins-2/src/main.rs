//! Runs a case of the review: starts controllers with stand-ins, and checks one rule.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cases;
mod cloud;
mod cluster;
mod fuzz;
mod proxy;
mod store;
mod value;
mod worker;
mod world;

use std::path::PathBuf;

/// What a case found.
pub enum Outcome {
    Held(String),
    Broken(String),
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, root, folder] = args.as_slice() else {
        eprintln!("usage: review-standins-2 CASE ROOT FOLDER");
        std::process::exit(2);
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let world = world::World::new(&folder.join("record.txt"));
    world.say(&format!("case {case}, trouble: {trouble}"));
    // A case runs for 120 seconds at most.
    let watched = std::sync::Arc::clone(&world);
    std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_secs(118));
        cluster::end_all();
        watched.say("COULD NOT RUN: the case took longer than 118 s");
        std::process::exit(2);
    });
    let outcome = cases::run(case, &root, std::sync::Arc::clone(&world), trouble);
    let (status, line) = match outcome {
        Outcome::Held(why) => (0, format!("HELD: {why}")),
        Outcome::Broken(why) => (1, format!("BROKEN: {why}")),
        Outcome::CouldNotRun(why) => (2, format!("COULD NOT RUN: {why}")),
    };
    world.say(&line);
    std::process::exit(status);
}
