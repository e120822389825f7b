//! The cases.

use crate::Outcome;
use crate::cloud::{Flavor, Options};
use crate::cluster::{Cluster, Site, Team};
use crate::store::Rates;
use crate::value::*;
use crate::worker::{Kind, Timing};
use crate::world::World;
use ciborium::Value;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

pub fn run(case: &str, root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    match case {
        "long-record" => long_record(root, world, trouble),
        "spread-memory" => spread_memory(root, world, trouble),
        "warm-wait" => warm_wait(root, world, trouble),
        "cloud-trouble" => cloud_trouble(root, world, trouble),
        "same-place" => same_place(root, world, trouble),
        "hoarded-limit" => hoarded_limit(root, world, trouble),
        "stuck-machine" => stuck_machine(root, world, trouble),
        "fuzz" => crate::fuzz::fuzz(root, world),
        _ => Outcome::CouldNotRun(format!("there is no case {case}")),
    }
}

/// Kaarna's first deployment (`kit/sites/kaarna-reitit.toml`).
fn kaarna() -> Site {
    Site {
        zones: vec!["vantaa-halli"],
        controllers: vec!["vantaa-halli"; 3],
        teams: vec![
            Team {
                name: "ajojarjestely",
                gpus: 72.0,
                gpus_max: 248.0,
            },
            Team {
                name: "karttatiimi",
                gpus: 144.0,
                gpus_max: 392.0,
            },
        ],
        rates: Rates {
            rps: 200.0,
            write_rps: 25.0,
            value_kb: 8.0,
            txn_ops: 16,
        },
        cloud_rps: 6.0,
        list_lag_s: 5.0,
        report_s: 2.5,
        lease_s: 16.0,
        cancel_s: 36.0,
        cores: 0.24,
        ram_mb: 104.0,
        max_sockets: 1800,
    }
}

fn karhu64() -> Flavor {
    Flavor {
        kind: Kind {
            rig: "karhu64".into(),
            yard: String::new(),
            loaner: false,
            vcpus: 64.0,
            cards: 8.0,
            mem_gb: 512.0,
            pull_gb_per_s: 0.25,
        },
        price: 17.49,
        spot_price: 7.8,
        startup_s: 40.0,
        cache_gb: 150.0,
        yards: vec!["vantaa-halli".into()],
    }
}

/// Delta's first deployment (`kit/sites/delta-archief.toml`).
fn delta() -> Site {
    Site {
        zones: vec!["delft-zaal", "utrecht-zaal"],
        controllers: vec!["delft-zaal", "utrecht-zaal", "delft-zaal"],
        teams: vec![Team {
            name: "reeksenbeheer",
            gpus: 0.0,
            gpus_max: 0.0,
        }],
        rates: Rates {
            rps: 150.0,
            write_rps: 40.0,
            value_kb: 8.0,
            txn_ops: 12,
        },
        cloud_rps: 2.0,
        list_lag_s: 8.0,
        report_s: 1.0,
        lease_s: 10.0,
        cancel_s: 40.0,
        cores: 0.04,
        ram_mb: 56.0,
        max_sockets: 800,
    }
}

fn polder12() -> Flavor {
    Flavor {
        kind: Kind {
            rig: "polder12".into(),
            yard: String::new(),
            loaner: false,
            vcpus: 12.0,
            cards: 2.0,
            mem_gb: 48.0,
            pull_gb_per_s: 0.5,
        },
        price: 4.16,
        spot_price: 1.01,
        startup_s: 30.0,
        cache_gb: 90.0,
        yards: vec!["delft-zaal".into(), "utrecht-zaal".into()],
    }
}

pub fn options(capacity: &[(&str, bool, usize)]) -> Options {
    Options {
        capacity: capacity
            .iter()
            .map(|(z, s, n)| (((*z).to_owned(), *s), *n))
            .collect::<BTreeMap<_, _>>(),
        rps: 0.0,
        list_lag_s: 0.0,
        boot_share: 1.0,
        timing: Timing {
            report_s: 0.0,
            lease_s: 0.0,
        },
    }
}

/// A submission of Kaarna's street cost recompute.
pub fn katuhinnat(number: u32, legs: u32) -> Vec<(&'static str, Value)> {
    vec![
        ("uid", text(&format!("j-{number:06}"))),
        ("lane", text("katuhinnat")),
        ("crew", text("karttatiimi")),
        ("shape", text("array")),
        ("rank", text("standard")),
        ("legs", int(u64::from(legs))),
        ("vcpus", Value::Float(6.0)),
        ("cards", Value::Float(1.0)),
        ("mem_gb", Value::Float(48.0)),
        ("cargo", text("katu-01")),
        ("size_gb", Value::Float(0.0)),
        ("rigs", Value::Null),
        ("yard", Value::Null),
        ("same_place", Value::Bool(false)),
        ("apart", Value::Bool(false)),
        ("loaner", Value::Bool(true)),
        ("haul_s", Value::Float(40.0)),
        ("waypoint_s", Value::Float(15.0)),
        ("stow_s", Value::Float(3.0)),
        ("due_s", Value::Null),
    ]
}

pub fn with(mut fields: Vec<(&'static str, Value)>, changes: &[(&'static str, Value)]) -> Value {
    for (name, value) in changes {
        for field in fields.iter_mut().filter(|(n, _)| n == name) {
            field.1 = value.clone();
        }
    }
    map(&fields)
}

fn sleep_until(world: &World, at: f64) {
    let left = at - world.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

/// Starts the cluster, and waits until it is ready and each shard has a leader.
pub fn start(cluster: &Cluster) -> Result<(), Outcome> {
    cluster.start_all();
    let count = cluster.addresses.len();
    if !(0..count).all(|n| cluster.wait_ready(n, 20.0)) {
        return Err(Outcome::CouldNotRun(
            "a controller did not get ready".into(),
        ));
    }
    let until = cluster.world.now() + 20.0;
    while cluster.store.keys("c/part/").len() < count {
        if cluster.world.now() > until {
            return Err(Outcome::CouldNotRun("a shard has no leader".into()));
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    cluster
        .world
        .say("all controllers are ready and lead a shard each");
    Ok(())
}

/// A submission of Delta's regridding.
fn herrastering(number: u32, legs: u32) -> Vec<(&'static str, Value)> {
    let changes = [
        ("lane", text("herrastering")),
        ("crew", text("reeksenbeheer")),
        ("rank", text("idle")),
        ("vcpus", Value::Float(5.0)),
        ("mem_gb", Value::Float(18.0)),
        ("cargo", text("regrid-01")),
        ("haul_s", Value::Float(60.0)),
        ("waypoint_s", Value::Float(10.0)),
        ("stow_s", Value::Float(2.0)),
    ];
    let mut fields = katuhinnat(number, legs);
    for (name, value) in changes {
        for field in fields.iter_mut().filter(|(n, _)| *n == name) {
            field.1 = value.clone();
        }
    }
    fields
}

fn long_record(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    let options = options(&[("delft-zaal", true, 1)]);
    let cluster = Cluster::new(root, Arc::clone(&world), delta(), vec![polder12()], options);
    cluster.cloud.add_up("vm-000001", 0, "delft-zaal", true);
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    // Small tasks, so that many of them are on one machine. The list of allowed types makes the
    // submission long; one of them exists.
    let mut rigs = vec![text("polder12")];
    if trouble {
        rigs.extend((0..330).map(|i| text(&format!("polder12-reeks-{i:04}"))));
    }
    let small = [
        ("vcpus", Value::Float(0.02)),
        ("cards", Value::Float(0.0)),
        ("mem_gb", Value::Float(0.05)),
    ];
    let long = with(herrastering(1, 300), &small);
    let long = with_value(long, "rigs", Value::Array(rigs.clone()));
    world.say(&format!(
        "job 1 allows {} types: {} bytes as JSON, a body may hold 65536",
        rigs.len(),
        json_len(&long)
    ));
    // Every second task completes soon, the others run for long.
    let status = cluster.submit(&long, |i| Some(if i % 2 == 0 { 3.0 } else { 600.0 }));
    if status != 201 && status != 200 {
        return Outcome::CouldNotRun(format!("job 1 was answered with {status}"));
    }
    for (key, v) in cluster.store.keys("c/job/") {
        world.say(&format!(
            "record {key} has {} bytes as JSON, the limit is 8192",
            json_len(&v)
        ));
    }
    // The done tasks of a job that goes on are recorded after two leases of a worker at the latest.
    sleep_until(&world, 32.0);
    let mut late = Vec::new();
    for number in 2..5 {
        let uid = format!("j-{number:06}");
        let spec = with(
            herrastering(number, 1),
            &[small[0].clone(), small[1].clone(), small[2].clone()],
        );
        let status = cluster.submit(&spec, |_| Some(2.0));
        world.say(&format!(
            "{uid}, one task of 2 s, was answered with {status}"
        ));
        let until = world.now() + 25.0;
        let mut done = None;
        while world.now() < until && done.is_none() {
            std::thread::sleep(Duration::from_millis(500));
            if (0..3).any(|n| cluster.poll(n, &uid).1 == "done") {
                done = Some(world.now());
            }
        }
        let completed = world.completed_at(&uid, 1);
        world.say(&format!(
            "{uid}: its task completed at {completed:?}, a node called it done at {done:?}"
        ));
        match (completed, done) {
            (None, _) => return Outcome::CouldNotRun(format!("the task of {uid} did not run")),
            (Some(at), None) => late.push(format!("{uid} {:.0} s", world.now() - at)),
            _ => {}
        }
    }
    let notes = cluster.store.notes.lock();
    world.say(&format!(
        "the state service refused {} transactions as too large: {:?}",
        notes.len(),
        notes.first()
    ));
    if late.is_empty() {
        Outcome::Held("each job was called done within 3 s".into())
    } else {
        Outcome::Broken(format!(
            "not called done after their tasks completed: {late:?}"
        ))
    }
}

pub fn with_value(value: Value, name: &'static str, new: Value) -> Value {
    let Value::Map(mut fields) = value else {
        return value;
    };
    for field in fields.iter_mut().filter(|(k, _)| k.as_text() == Some(name)) {
        field.1 = new.clone();
    }
    Value::Map(fields)
}

fn spread_memory(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    let options = options(&[
        ("delft-zaal", true, 7),
        ("utrecht-zaal", true, 7),
        ("delft-zaal", false, 7),
        ("utrecht-zaal", false, 7),
    ]);
    let site = delta();
    let ram_mb = site.ram_mb;
    let cluster = Cluster::new(root, Arc::clone(&world), site, vec![polder12()], options);
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    // The controllers tell each other every 0.7 s what they have.
    sleep_until(&world, 2.5);
    let memory = |n| cluster.memory_mb(n).unwrap_or(0.0);
    world.say(&format!(
        "memory of the controllers: {:.0} {:.0} {:.0} MB",
        memory(0),
        memory(1),
        memory(2)
    ));
    let small = herrastering(100, 4);
    cluster.submit(&with(small, &[]), |_| Some(30.0));
    let jobs = 20;
    let mut accepted = 0;
    for number in 1..=jobs {
        let spec = with(
            herrastering(number, 100_000),
            &[("apart", Value::Bool(trouble))],
        );
        accepted += u32::from(matches!(cluster.submit(&spec, |_| Some(60.0)), 200 | 201));
    }
    world.say(&format!(
        "{accepted} jobs of 100000 tasks were accepted, apart: {trouble}"
    ));
    // What the platform does: a process over its limit is ended, and is back after 3 s.
    let mut ends = [0; 3];
    let mut back: [Option<f64>; 3] = [None; 3];
    let mut most: f64 = 0.0;
    let mut polls = (0, 0);
    let mut next_poll = world.now();
    while world.now() < 90.0 {
        for n in 0..3 {
            let held = memory(n);
            if held > ram_mb {
                world.say(&format!(
                    "node {n} holds {held:.0} MB of {ram_mb}: ended by the platform"
                ));
                cluster.kill(n);
                ends[n] += 1;
                back[n] = Some(world.now() + 3.0);
            }
            most = most.max(held);
            if back[n].is_some_and(|at| world.now() >= at) {
                cluster.start(n);
                back[n] = None;
            }
        }
        if world.now() >= next_poll {
            next_poll += 5.0;
            let (status, _) = cluster.poll(fastrand::usize(..3), &uid(100));
            polls.0 += 1;
            polls.1 += u32::from(status == 200);
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let on: usize = (1..=jobs).map(|n| world.tasks_on(&uid(n))).sum();
    world.say(&format!("controllers were ended {ends:?} times, the largest held {most:.0} MB; {} of {} polls were answered; {on} tasks on machines", polls.1, polls.0));
    if ends.iter().sum::<u32>() > 0 {
        Outcome::Broken(format!("controllers ended for memory {ends:?} times"))
    } else {
        Outcome::Held(format!("no controller held more than {most:.0} MB"))
    }
}

/// Machine names that the controllers keep in this part of three.
fn names_of_part(part: u32, count: usize) -> Vec<String> {
    let names = (1..1000).map(|i| format!("vm-{i:06}"));
    names
        .filter(|n| pulleywood_protocol::MachineId::from(n.as_str()).shard(3).0 == part)
        .take(count)
        .collect()
}

/// The first job number from this one that the controllers store in this part of three.
fn job_of_part(part: u32, from: u32) -> u32 {
    let of_part = |n: &u32| {
        pulleywood_protocol::JobId::parse(&uid(*n)).is_some_and(|id| id.shard(3).0 == part)
    };
    (from..).find(of_part).unwrap_or(from)
}

pub fn uid(number: u32) -> String {
    format!("j-{number:06}")
}

/// A submission of Kaarna's route service.
fn reittipalvelu(number: u32) -> Value {
    with(
        katuhinnat(number, 1),
        &[
            ("lane", text("reittipalvelu")),
            ("crew", text("ajojarjestely")),
            ("shape", text("service")),
            ("rank", text("production")),
            ("vcpus", Value::Float(5.0)),
            ("mem_gb", Value::Float(38.0)),
            ("cargo", text("reitti-01")),
            ("loaner", Value::Bool(false)),
            ("haul_s", Value::Float(0.0)),
            ("waypoint_s", Value::Float(0.0)),
            ("stow_s", Value::Float(0.0)),
        ],
    )
}

fn warm_wait(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    let options = options(&[("vantaa-halli", true, 2), ("vantaa-halli", false, 1)]);
    let cluster = Cluster::new(root, Arc::clone(&world), kaarna(), vec![karhu64()], options);
    // Machines that report to the same controller; a larger deployment has such machines anyway.
    let names = names_of_part(0, 3);
    let roomy = names[2].as_str();
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    // The controllers tell each other every 0.7 s what they have.
    sleep_until(&world, 2.5);
    // A replica of the route service, which keeps the ordinary machine in use.
    let route = job_of_part(0, 100);
    // The owner's estimate: half of the real run time, or right.
    let (real_s, estimate_s) = (100.0, if trouble { 50.0 } else { 100.0 });
    let image = [
        ("size_gb", Value::Float(2.5)),
        ("haul_s", Value::Float(estimate_s)),
    ];
    let first = job_of_part(0, route + 1);
    cluster.submit(&with(katuhinnat(first, 16), &image), move |_| Some(real_s));
    cluster.cloud.add_up(&names[0], 0, "vantaa-halli", true);
    cluster.cloud.add_up(&names[1], 0, "vantaa-halli", true);
    while (0..16).any(|i| world.launched_at(&format!("{}/{i}", uid(first))).is_none()) {
        if world.now() > 30.0 {
            return Outcome::CouldNotRun("the first job is not launched".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    cluster.submit(&reittipalvelu(route), |_| None);
    cluster.cloud.add_up(roomy, 0, "vantaa-halli", false);
    let until = world.now() + 60.0;
    while world.tasks_on(&uid(first)) < 16 || world.tasks_on(&uid(route)) < 1 {
        if world.now() > until {
            return Outcome::CouldNotRun("the first jobs do not run".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs_f64(2.5));
    let on: Vec<_> = world
        .observed
        .lock()
        .on
        .iter()
        .map(|(t, m)| format!("{t} on {m:?}"))
        .collect();
    world.say(&format!("running: {on:?}"));
    for name in &names {
        world.say(&format!(
            "free processors and GPUs on {name}: {:?}",
            cluster.cloud.free_on(name)
        ));
    }
    let second = job_of_part(0, first + 1);
    let status = cluster.submit(&with(katuhinnat(second, 1), &image), move |_| Some(real_s));
    let accepted = world.now();
    let task = format!("{}/0", uid(second));
    world.say(&format!(
        "{}, one task of 1 GPU, was answered with {status}",
        uid(second)
    ));
    let mut least = (f64::MAX, f64::MAX);
    while world.launched_at(&task).is_none() && world.now() < accepted + 91.0 {
        let free = cluster.cloud.free_on(roomy).unwrap_or_default();
        least = (least.0.min(free.0), least.1.min(free.1));
        if ((world.now() - accepted) as u64).is_multiple_of(10) {
            cluster.poll(fastrand::usize(..3), &uid(second));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let waited = world.launched_at(&task).unwrap_or_else(|| world.now()) - accepted;
    world.say(&format!("{task} waited {waited:.1} s; meanwhile {roomy} never had less than {least:?} processors and GPUs free"));
    match world.launched_at(&task) {
        None if least.0 >= 6.0 && least.1 >= 1.0 => Outcome::Broken(format!(
            "{task} was left waiting for {waited:.0} s while {roomy} had room for it"
        )),
        None => Outcome::CouldNotRun("no machine had room".into()),
        Some(_) => Outcome::Held(format!("{task} was launched after {waited:.1} s")),
    }
}

/// The controller that leads the part of a machine, by the state service's records.
fn leader_of(cluster: &Cluster, machine: &str) -> Option<usize> {
    let racks = cluster.store.keys("c/rack/");
    let part = racks
        .iter()
        .find_map(|(_, rack)| int_of(field(field(rack, "machines")?, machine)?, "part"))?;
    let (_, holder) = cluster
        .store
        .keys(&format!("c/part/{part}"))
        .into_iter()
        .next()?;
    let member = text_of(&holder, "member")?;
    cluster.nodes.lock().iter().position(|n| n.member == member)
}

fn cloud_trouble(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    let options = options(&[("delft-zaal", false, 1)]);
    let cluster = Cluster::new(root, Arc::clone(&world), delta(), vec![polder12()], options);
    cluster.cloud.add_up("vm-000001", 0, "delft-zaal", false);
    let service = with(
        herrastering(1, 2),
        &[
            ("lane", text("raadpleging")),
            ("shape", text("service")),
            ("rank", text("production")),
            ("vcpus", Value::Float(4.0)),
            ("mem_gb", Value::Float(14.0)),
            ("loaner", Value::Bool(false)),
            ("haul_s", Value::Float(0.0)),
            ("waypoint_s", Value::Float(0.0)),
            ("stow_s", Value::Float(0.0)),
        ],
    );
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    cluster.submit(&service, |_| None);
    let until = world.now() + 30.0;
    while world.tasks_on(&uid(1)) < 2 {
        if world.now() > until {
            return Outcome::CouldNotRun("the replicas do not run".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(3));
    let Some(leader) = leader_of(&cluster, "vm-000001") else {
        return Outcome::CouldNotRun("no leader of the machine's part".into());
    };
    world.say(&format!(
        "both replicas run on vm-000001, whose part node {leader} leads"
    ));
    if trouble {
        cluster.cloud.set_trouble(true);
        cluster.kill(leader);
        std::thread::sleep(Duration::from_secs(3));
        cluster.start(leader);
    }
    let begun = world.now();
    let mut lost: Option<f64> = None;
    let mut next_look = begun;
    let mut longest: f64 = 0.0;
    while world.now() < begun + 90.0 {
        let on = world.tasks_on(&uid(1));
        match (on, lost) {
            (0, None) => {
                world.say("no replica is on a machine");
                lost = Some(world.now());
            }
            (1.., Some(at)) => {
                world.say(&format!(
                    "a replica is on a machine again, after {:.1} s",
                    world.now() - at
                ));
                lost = None;
            }
            _ => {}
        }
        longest = longest.max(lost.map_or(0.0, |at| world.now() - at));
        if world.now() >= next_look {
            next_look += 10.0;
            let polls: Vec<String> = (0..3).map(|n| cluster.poll(n, &uid(1)).1).collect();
            let ready: Vec<u16> = (0..3)
                .map(|n| cluster.call(n, "GET", "/ready", None, 1.0).0)
                .collect();
            let leaders = cluster.store.keys("c/part/").len();
            let free = cluster.cloud.free_on("vm-000001");
            world.say(&format!("ready {ready:?}; parts with a leader: {leaders} of 3; the job is called {polls:?}; free on vm-000001: {free:?}"));
        }
        std::thread::sleep(Duration::from_millis(200));
    }
    if longest >= 60.0 {
        Outcome::Broken(format!(
            "an accepted service of two replicas ran nowhere for {longest:.0} s, with its machine up and empty and two controllers healthy"
        ))
    } else {
        Outcome::Held(format!(
            "the replicas were off their machine for {longest:.0} s at the most"
        ))
    }
}

fn same_place(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    // All machines that the cloud has are up.
    let options = options(&[("vantaa-halli", true, 0), ("vantaa-halli", false, 0)]);
    let cluster = Cluster::new(root, Arc::clone(&world), kaarna(), vec![karhu64()], options);
    let (spot, ordinary) = (names_of_part(0, 1).remove(0), names_of_part(1, 1).remove(0));
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    // The controllers tell each other every 0.7 s what they have.
    sleep_until(&world, 2.5);
    let route = job_of_part(1, 100);
    cluster.submit(&reittipalvelu(route), |_| None);
    cluster.cloud.add_up(&spot, 0, "vantaa-halli", true);
    cluster.cloud.add_up(&ordinary, 0, "vantaa-halli", false);
    let until = world.now() + 30.0;
    while world.tasks_on(&uid(route)) < 1 || leader_of(&cluster, &spot).is_none() {
        if world.now() > until {
            return Outcome::CouldNotRun("the service does not run".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(4));
    world.say(&format!(
        "{} runs on {:?}",
        uid(route),
        world.observed.lock().on.get(&format!("{}/0", uid(route)))
    ));
    world.say(&format!(
        "node {:?} leads the part of {spot}, node {:?} that of {ordinary}",
        leader_of(&cluster, &spot),
        leader_of(&cluster, &ordinary)
    ));
    if trouble {
        cluster.cloud.take(&spot);
    }
    let number = job_of_part(0, 200);
    let job = with(katuhinnat(number, 2), &[("same_place", Value::Bool(true))]);
    let status = cluster.submit(&job, |_| Some(20.0));
    let accepted = world.now();
    world.say(&format!(
        "{}, two tasks of 1 GPU in one place, was answered with {status}",
        uid(number)
    ));
    let launched = || (0..2).find_map(|i| world.launched_at(&format!("{}/{i}", uid(number))));
    let mut least = (f64::MAX, f64::MAX);
    while launched().is_none() && world.now() < accepted + 92.0 {
        let free = cluster.cloud.free_on(&ordinary).unwrap_or_default();
        least = (least.0.min(free.0), least.1.min(free.1));
        if ((world.now() - accepted) as u64).is_multiple_of(10) {
            cluster.poll(fastrand::usize(..3), &uid(number));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let waited = launched().unwrap_or_else(|| world.now()) - accepted;
    world.say(&format!("{} waited {waited:.1} s; meanwhile {ordinary} never had less than {least:?} processors and GPUs free", uid(number)));
    match launched() {
        None if least.0 >= 12.0 && least.1 >= 2.0 => Outcome::Broken(format!(
            "{} was left waiting for {waited:.0} s while {ordinary} had room for all of it",
            uid(number)
        )),
        None => Outcome::CouldNotRun("no machine had room".into()),
        Some(_) => Outcome::Held(format!("{} was launched after {waited:.1} s", uid(number))),
    }
}

fn hoarded_limit(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    // What the cloud has by the site file: 15 spot machines, eleven of which are up, and 17 ordinary
    // ones.
    let options = options(&[("vantaa-halli", true, 15), ("vantaa-halli", false, 17)]);
    let cluster = Cluster::new(root, Arc::clone(&world), kaarna(), vec![karhu64()], options);
    let names = names_of_part(0, 11);
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    // The controllers tell each other every 0.7 s what they have.
    sleep_until(&world, 2.5);
    // Tasks that take all 8 GPUs of a machine, of the team with a limit of 248.
    let whole = |number, legs, spot| {
        with(
            katuhinnat(number, legs),
            &[
                ("crew", text("ajojarjestely")),
                ("vcpus", Value::Float(48.0)),
                ("cards", Value::Float(8.0)),
                ("mem_gb", Value::Float(384.0)),
                ("loaner", Value::Bool(spot)),
                ("haul_s", Value::Float(600.0)),
            ],
        )
    };
    let running = job_of_part(0, 100);
    for name in &names {
        cluster.cloud.add_up(name, 0, "vantaa-halli", true);
    }
    cluster.submit(&whole(running, 10, true), |_| Some(600.0));
    let until = world.now() + 30.0;
    while world.tasks_on(&uid(running)) < 10 {
        if world.now() > until {
            return Outcome::CouldNotRun("the first job does not run".into());
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let ordinary_only = [job_of_part(1, 200), job_of_part(2, 300)];
    for number in ordinary_only.iter().filter(|_| trouble) {
        let status = cluster.submit(&whole(*number, 11, false), |_| Some(600.0));
        world.say(&format!(
            "{}, 11 tasks that may not run on spot machines, was answered with {status}",
            uid(*number)
        ));
    }
    std::thread::sleep(Duration::from_secs(2));
    let number = job_of_part(0, 400);
    let status = cluster.submit(&whole(number, 1, true), |_| Some(20.0));
    let accepted = world.now();
    world.say(&format!(
        "{}, one task of 8 GPUs that may run on spot machines, was answered with {status}",
        uid(number)
    ));
    let task = format!("{}/0", uid(number));
    let mut room = f64::MAX;
    let mut used: f64 = 0.0;
    while world.launched_at(&task).is_none() && world.now() < accepted + 92.0 {
        let free = names
            .iter()
            .filter_map(|n| cluster.cloud.free_on(n))
            .map(|f| f.1);
        room = room.min(free.fold(0.0, f64::max));
        let on: usize = [running, ordinary_only[0], ordinary_only[1], number]
            .iter()
            .map(|n| world.tasks_on(&uid(*n)))
            .sum();
        used = used.max(8.0 * on as f64);
        if ((world.now() - accepted) as u64).is_multiple_of(10) {
            cluster.poll(fastrand::usize(..3), &uid(number));
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let waited = world.launched_at(&task).unwrap_or_else(|| world.now()) - accepted;
    world.say(&format!("{task} waited {waited:.1} s; a machine had {room} GPUs free all the time; the team used {used} of 248 GPUs at the most"));
    for (key, grant) in cluster.store.keys("c/grant/") {
        world.say(&format!("{key}: {}", json(&grant)));
    }
    match world.launched_at(&task) {
        None if room >= 8.0 && used + 8.0 <= 248.0 => Outcome::Broken(format!(
            "{task} was left waiting for {waited:.0} s while a machine had room for it and its team used {used} of 248 GPUs"
        )),
        None => Outcome::CouldNotRun("no machine had room".into()),
        Some(_) => Outcome::Held(format!("{task} was launched after {waited:.1} s")),
    }
}

/// Whether a transaction marks a machine as on its way back to the cloud.
fn marks_a_release(txn: &Value) -> bool {
    list_of(txn, "apply").iter().any(|write| {
        text_of(write, "write").is_some_and(|path| path.starts_with("c/rack/"))
            && field(write, "value")
                .is_some_and(|value| json(value).to_string().contains("\"retiring\":true"))
    })
}

fn stuck_machine(root: &Path, world: Arc<World>, trouble: bool) -> Outcome {
    // What the cloud has by the site file.
    let options = options(&[
        ("delft-zaal", true, 7),
        ("utrecht-zaal", true, 7),
        ("delft-zaal", false, 7),
        ("utrecht-zaal", false, 7),
    ]);
    let cluster = Cluster::new(root, Arc::clone(&world), delta(), vec![polder12()], options);
    cluster.cloud.add_up("vm-000001", 0, "delft-zaal", false);
    if trouble {
        cluster.store.begin_outage_with(marks_a_release);
    }
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    let until = world.now() + 25.0;
    if trouble {
        while !cluster.store.in_outage() {
            if world.now() > until {
                return Outcome::CouldNotRun("no machine was given back".into());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        world.say("the state service has an outage, which caught the transaction that gives vm-000001 back");
        std::thread::sleep(Duration::from_millis(7500));
        cluster.store.end_outage();
        world.say("the outage is over");
    } else {
        sleep_until(&world, 24.0);
    }
    let job = with(herrastering(1, 1), &[("haul_s", Value::Float(5.0))]);
    let status = cluster.submit(&job, |_| Some(5.0));
    let accepted = world.now();
    world.say(&format!(
        "j-000001, one task of 5 s, was answered with {status}"
    ));
    let mut least = (f64::MAX, f64::MAX);
    while world.launched_at("j-000001/0").is_none() && world.now() < (accepted + 91.0).min(117.5) {
        let free = cluster.cloud.free_on("vm-000001").unwrap_or_default();
        least = (least.0.min(free.0), least.1.min(free.1));
        std::thread::sleep(Duration::from_millis(500));
    }
    let waited = world
        .launched_at("j-000001/0")
        .unwrap_or_else(|| world.now())
        - accepted;
    world.say(&format!("j-000001/0 waited {waited:.1} s; vm-000001 never had less than {least:?} processors and GPUs free"));
    match world.launched_at("j-000001/0") {
        None if waited >= 90.0 && least.0 >= 5.0 && least.1 >= 1.0 => Outcome::Broken(format!(
            "j-000001 was left waiting for {waited:.0} s while vm-000001 had room for it"
        )),
        None => Outcome::CouldNotRun("the time or the room did not suffice".into()),
        Some(_) => Outcome::Held(format!("j-000001 was launched after {waited:.1} s")),
    }
}
