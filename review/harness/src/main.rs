//! Runs one case of the review: `review-harness CASE ROOT FOLDER RECORD`. With `TROUBLE=0` in
//! the environment it runs without the disruption. Exits with 1 if the rule was broken, 0 if it
//! held, 2 if the case could not run.

mod cases;
mod cloud;
mod cluster;
mod jobs;
mod record;
mod state;
mod worker;

use record::Record;
use std::path::PathBuf;
use std::sync::Arc;

/// What a case found.
pub enum Verdict {
    Held(String),
    Broken(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder, record] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE ROOT FOLDER RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(record)) {
        Ok(record) => Arc::new(record),
        Err(e) => {
            eprintln!("cannot write {record}: {e}");
            std::process::exit(2);
        }
    };
    let (root, folder) = (PathBuf::from(root), PathBuf::from(folder));
    let (text, status) = match cases::run(case, root, folder, trouble, &record) {
        Ok(Verdict::Held(text)) => (format!("HELD: {text}"), 0),
        Ok(Verdict::Broken(text)) => (format!("BROKEN: {text}"), 1),
        Err(text) => (format!("COULD NOT RUN: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(status);
}
