//! Random troubles at a small deployment, to look for broken rules. Not a case.

use crate::Outcome;
use crate::cases::{katuhinnat, options, start, uid, with};
use crate::cloud::Flavor;
use crate::cluster::{Cluster, Site, Team};
use crate::proxy::Link;
use crate::store::Rates;
use crate::value::*;
use crate::worker::Kind;
use crate::world::World;
use ciborium::Value;
use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How far answers about a job have gone: 0 unknown, 1 accepted, 2 done or withdrawn.
#[derive(Default, Clone)]
struct Heard {
    level: u8,
    last: String,
    withdrawn_at: Option<f64>,
    cancel_asked: bool,
}

struct Users {
    cluster: Arc<Cluster>,
    heard: Mutex<BTreeMap<u32, Heard>>,
    broken: Mutex<Vec<String>>,
    specs: Mutex<BTreeMap<u32, (u32, bool)>>,
}

impl Users {
    fn broke(&self, line: String) {
        self.cluster.world.say(&line);
        self.broken.lock().push(line);
    }

    fn level(status: u16, job: &str) -> Option<u8> {
        match (status, job) {
            (404, _) => Some(0),
            (200 | 201, "done" | "withdrawn") => Some(2),
            (200 | 201, _) => Some(1),
            _ => None,
        }
    }

    /// Takes in an answer to a request that was begun when `before` had been heard.
    fn take(&self, job: u32, before: &Heard, status: u16, said: &str, what: &str) {
        let Some(level) = Users::level(status, said) else {
            return;
        };
        if level < before.level || before.level == 2 && before.last != said {
            self.broke(format!(
                "went_back: {} at {what}: {status} {said} after {}",
                uid(job),
                before.last
            ));
        }
        let now = self.cluster.world.now();
        if said == "done" {
            let legs = self.specs.lock().get(&job).map_or(0, |s| s.0);
            if self.cluster.world.completed_at(&uid(job), legs).is_none() {
                self.broke(format!("not_done: {} called done", uid(job)));
            }
        }
        let mut heard = self.heard.lock();
        let heard = heard.entry(job).or_default();
        if said == "withdrawn" && !heard.cancel_asked {
            let line = format!("went_back: {} withdrawn, nobody asked", uid(job));
            self.broken.lock().push(line);
        }
        if level > heard.level {
            heard.level = level;
            heard.last = said.to_owned();
            if said == "withdrawn" {
                heard.withdrawn_at = Some(now);
            }
        }
    }

    fn before(&self, job: u32) -> Heard {
        self.heard.lock().get(&job).cloned().unwrap_or_default()
    }

    fn poll(&self, job: u32) {
        let before = self.before(job);
        let node = fastrand::usize(..3);
        let (status, said) = self.cluster.poll(node, &uid(job));
        self.take(job, &before, status, &said, &format!("poll of {node}"));
    }

    fn submit(&self, job: u32, spec: &Value) -> bool {
        let body = encode(spec);
        for _ in 0..30 {
            let before = self.before(job);
            let node = fastrand::usize(..3);
            let (status, answer) = self
                .cluster
                .call(node, "POST", "/v2/runs", Some(&body), 5.0);
            let said = answer
                .and_then(|b| text_of(&b, "status"))
                .unwrap_or_default();
            self.cluster.world.note(&format!(
                "user: submit {} to {node}: {status} {said}",
                uid(job)
            ));
            if status == 400 || status == 422 {
                self.broke(format!("forgotten: {} got {status}", uid(job)));
            }
            self.take(job, &before, status, &said, &format!("submit to {node}"));
            if matches!(status, 200 | 201) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(1000));
        }
        false
    }

    fn cancel(&self, job: u32) -> bool {
        self.heard.lock().entry(job).or_default().cancel_asked = true;
        for _ in 0..40 {
            let before = self.before(job);
            let node = fastrand::usize(..3);
            let (status, answer) = self.cluster.call(
                node,
                "POST",
                &format!("/v2/runs/{}/cancel", uid(job)),
                None,
                5.0,
            );
            let said = answer
                .and_then(|b| text_of(&b, "status"))
                .unwrap_or_default();
            self.cluster.world.note(&format!(
                "user: cancel {} at {node}: {status} {said}",
                uid(job)
            ));
            self.take(job, &before, status, &said, &format!("cancel at {node}"));
            if status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(1000));
        }
        false
    }
}

pub fn fuzz(root: &Path, world: Arc<World>) -> Outcome {
    let seed: u64 = std::env::var("SEED")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(1);
    fastrand::seed(seed);
    let (lease_s, cancel_s, limit) = (5.0, 12.0, 6.0);
    let site = Site {
        zones: vec!["a", "b"],
        controllers: vec!["a", "b", "a"],
        teams: vec![
            Team {
                name: "red",
                gpus: 2.0,
                gpus_max: limit,
            },
            Team {
                name: "blue",
                gpus: 0.0,
                gpus_max: 0.0,
            },
        ],
        rates: Rates {
            rps: 400.0,
            write_rps: 120.0,
            value_kb: 8.0,
            txn_ops: 12,
        },
        cloud_rps: 20.0,
        list_lag_s: 1.0,
        report_s: 0.5,
        lease_s,
        cancel_s,
        cores: 1.0,
        ram_mb: 100.0,
        max_sockets: 800,
    };
    let flavor = Flavor {
        kind: Kind {
            rig: "g2".into(),
            yard: String::new(),
            loaner: false,
            vcpus: 8.0,
            cards: 2.0,
            mem_gb: 32.0,
            pull_gb_per_s: 1.0,
        },
        price: 4.0,
        spot_price: 1.0,
        startup_s: 2.0,
        cache_gb: 50.0,
        yards: vec!["a".into(), "b".into()],
    };
    let options = options(&[
        ("a", true, 3),
        ("a", false, 2),
        ("b", true, 3),
        ("b", false, 2),
    ]);
    let cluster = Cluster::new(root, Arc::clone(&world), site, vec![flavor], options);
    if let Err(outcome) = start(&cluster) {
        return outcome;
    }
    let users = Arc::new(Users {
        cluster: Arc::clone(&cluster),
        heard: Mutex::default(),
        broken: Mutex::default(),
        specs: Mutex::default(),
    });
    let over = Arc::new(AtomicBool::new(false));
    let trouble_ends = 75.0;
    for lane in 0..14u32 {
        let (users, over) = (Arc::clone(&users), Arc::clone(&over));
        std::thread::spawn(move || {
            let mut number = lane * 1000 + 1;
            while users.cluster.world.now() < trouble_ends && !over.load(Ordering::Relaxed) {
                number += 1;
                user_life(&users, number);
            }
        });
    }
    // Rules that are seen on machines.
    let (watcher, stop) = (Arc::clone(&users), Arc::clone(&over));
    std::thread::spawn(move || {
        let mut told: std::collections::BTreeSet<String> = Default::default();
        let mut waiting: BTreeMap<u32, f64> = BTreeMap::new();
        while !stop.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(50));
            let now = watcher.cluster.world.now();
            let on = watcher.cluster.world.observed.lock().on.clone();
            if now > trouble_ends {
                let room: Vec<(bool, f64, f64)> = watcher
                    .cluster
                    .cloud
                    .workers()
                    .iter()
                    .map(|w| (w.spot(), w.free().0, w.free().1))
                    .collect();
                let specs = watcher.specs.lock().clone();
                let heard = watcher.heard.lock().clone();
                for (number, (legs, _)) in &specs {
                    let live = heard
                        .get(number)
                        .is_some_and(|h| h.level == 1 && !h.cancel_asked);
                    let jobs = watcher.cluster.world.jobs.lock();
                    let Some(spec) = jobs.get(&uid(*number)).map(|j| j.spec.clone()) else {
                        continue;
                    };
                    drop(jobs);
                    let blue = text_of(&spec, "crew").as_deref() == Some("blue");
                    let idle = watcher.cluster.world.tasks_on(&uid(*number)) == 0
                        && watcher
                            .cluster
                            .world
                            .completed_at(&uid(*number), *legs)
                            .is_none();
                    let fits = room.iter().any(|(s, c, g)| {
                        (bool_of(&spec, "loaner") == Some(true) || !s) && *c >= 2.0 && *g >= 1.0
                    });
                    if live && blue && idle && fits {
                        let since = waiting.entry(*number).or_insert(now);
                        if now - *since > 25.0 && told.insert(format!("wait {number}")) {
                            watcher.broke(format!(
                                "left_waiting: {} for {:.0} s though machines have room: {}",
                                uid(*number),
                                now - *since,
                                json(&spec)
                            ));
                        }
                    } else {
                        waiting.remove(number);
                    }
                }
            }
            let mut red = 0.0;
            let jobs = watcher.cluster.world.jobs.lock();
            let mut lines = Vec::new();
            for (task, machines) in on.iter().filter(|(_, m)| !m.is_empty()) {
                let job = task.split('/').next().unwrap_or_default();
                if let Some(j) = jobs.get(job)
                    && text_of(&j.spec, "crew").as_deref() == Some("red")
                {
                    red += num_of(&j.spec, "cards").unwrap_or(0.0) * machines.len() as f64;
                }
                let number: u32 = job[2..].parse().unwrap_or(0);
                let withdrawn = watcher
                    .heard
                    .lock()
                    .get(&number)
                    .and_then(|h| h.withdrawn_at);
                if let Some(at) = withdrawn
                    && now > at + cancel_s
                    && told.insert(task.clone())
                {
                    lines.push(format!(
                        "ran_cancelled: {task} on {machines:?} {:.1} s after",
                        now - at
                    ));
                }
            }
            drop(jobs);
            if red > limit + 1e-6 && told.insert(format!("quota {}", now as u64 / 5)) {
                lines.push(format!("quota: red uses {red} of {limit}"));
            }
            for line in lines {
                watcher.broke(line);
            }
        }
    });
    let mut actions = Vec::new();
    while world.now() < trouble_ends - 15.0 {
        std::thread::sleep(Duration::from_millis(fastrand::u64(300..4000)));
        trouble(&cluster, &mut actions);
    }
    for action in actions {
        let _ = std::thread::JoinHandle::join(action);
    }
    world.say("troubles are over");
    let left: Vec<u32> = users
        .specs
        .lock()
        .iter()
        .filter(|(_, s)| s.1)
        .map(|(n, _)| *n)
        .collect();
    for number in left {
        let heard = users.before(number);
        if heard.level == 1 {
            let users = Arc::clone(&users);
            std::thread::spawn(move || users.cancel(number));
        }
    }
    sleep(&world, trouble_ends + 35.0);
    over.store(true, Ordering::Relaxed);
    // What was accepted and not cancelled is done by now, or running.
    let heard = users.heard.lock().clone();
    let specs = users.specs.lock().clone();
    let mut late = Vec::new();
    for (job, h) in &heard {
        let Some((legs, service)) = specs.get(job) else {
            continue;
        };
        if h.level == 1
            && !h.cancel_asked
            && !service
            && world.completed_at(&uid(*job), *legs).is_none()
        {
            late.push(uid(*job));
        }
    }
    let counts = heard.values().fold([0; 3], |mut c, h| {
        c[h.level as usize] += 1;
        c
    });
    let mut broken = users.broken.lock().clone();
    broken.extend(world.observed.lock().broken.clone());
    let started = world.observed.lock().first_start.len();
    let text = format!(
        "seed {seed}: jobs unknown, live, ended: {counts:?}; tasks started {started}; not finished: {late:?}; broken: {broken:?}"
    );
    cluster.end();
    if broken.is_empty() {
        Outcome::Held(text)
    } else {
        Outcome::Broken(text)
    }
}

fn sleep(world: &World, at: f64) {
    let left = at - world.now();
    if left > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(left));
    }
}

fn user_life(users: &Users, number: u32) {
    let service = fastrand::f64() < 0.2;
    let legs = *[1, 1, 2, 3, 5, 8].get(fastrand::usize(..6)).unwrap_or(&1);
    let kind = fastrand::u32(..6);
    let red = fastrand::bool();
    let spec = with(
        katuhinnat(number, legs),
        &[
            ("crew", text(if red { "red" } else { "blue" })),
            ("shape", text(if service { "service" } else { "array" })),
            (
                "rank",
                text(["production", "urgent", "standard", "idle"][fastrand::usize(..4)]),
            ),
            ("vcpus", Value::Float(2.0)),
            (
                "cards",
                Value::Float(if service && legs > 5 { 0.0 } else { 1.0 }),
            ),
            ("mem_gb", Value::Float(4.0)),
            ("cargo", text(&format!("img-{}", fastrand::u32(..3)))),
            ("size_gb", Value::Float(0.5)),
            ("same_place", Value::Bool(kind == 0)),
            ("apart", Value::Bool(kind == 1)),
            ("loaner", Value::Bool(fastrand::bool())),
            ("haul_s", Value::Float(if service { 0.0 } else { 2.0 })),
            ("waypoint_s", Value::Float(0.0)),
            ("stow_s", Value::Float(0.5)),
        ],
    );
    let run = 0.3 + fastrand::f64() * 6.0;
    let job = crate::world::Job {
        spec: spec.clone(),
        run_s: Box::new(move |_| (!service).then_some(run)),
    };
    users.cluster.world.jobs.lock().insert(uid(number), job);
    users.specs.lock().insert(number, (legs, service));
    users.cluster.world.note(&format!("spec {}", json(&spec)));
    if !users.submit(number, &spec) {
        return;
    }
    users.poll(number);
    users.poll(number);
    let cancels = service || fastrand::f64() < 0.3;
    let patience = fastrand::f64() * 12.0;
    let begun = users.cluster.world.now();
    loop {
        std::thread::sleep(Duration::from_millis(fastrand::u64(20..1500)));
        users.poll(number);
        if users.before(number).level == 2 {
            users.poll(number);
            users.poll(number);
            if fastrand::f64() < 0.3 {
                users.submit(number, &spec);
            }
            return;
        }
        let age = users.cluster.world.now() - begun;
        if cancels && age > patience {
            users.cancel(number);
            users.poll(number);
            users.poll(number);
            return;
        }
        if age > 25.0 {
            return;
        }
    }
}

fn later(
    actions: &mut Vec<std::thread::JoinHandle<()>>,
    seconds: f64,
    f: impl FnOnce() + Send + 'static,
) {
    actions.push(std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs_f64(seconds));
        f();
    }));
}

fn trouble(cluster: &Arc<Cluster>, actions: &mut Vec<std::thread::JoinHandle<()>>) {
    let node = fastrand::usize(..3);
    let c = Arc::clone(cluster);
    let for_s = 0.5 + fastrand::f64() * 9.0;
    let kind = fastrand::u32(..12);
    cluster
        .world
        .note(&format!("trouble {kind} at node {node} for {for_s:.1} s"));
    match kind {
        0 | 1 => {
            cluster.kill(node);
            later(actions, fastrand::f64() * 3.0, move || c.start(node));
        }
        2 => {
            cluster.signal(node, "-STOP");
            later(actions, for_s, move || c.signal(node, "-CONT"));
        }
        3 | 4 => {
            let link = [Link::Hold, Link::Reset][fastrand::usize(..2)];
            cluster.state_links[node].set(link);
            later(actions, for_s, move || c.state_links[node].set(Link::Open));
        }
        5 => {
            cluster.set_peer_links(node, [Link::Hold, Link::Reset][fastrand::usize(..2)]);
            later(actions, for_s, move || c.set_peer_links(node, Link::Open));
        }
        6 => {
            cluster.state_links[node].set(Link::Hold);
            cluster.set_peer_links(node, Link::Hold);
            later(actions, for_s, move || {
                c.state_links[node].set(Link::Open);
                c.set_peer_links(node, Link::Open);
            });
        }
        7 => {
            for l in &cluster.state_links {
                l.set(Link::Hold);
            }
            later(actions, for_s, move || {
                c.state_links.iter().for_each(|l| l.set(Link::Open))
            });
        }
        8 => {
            cluster.state_links[node].set(Link::Slow(fastrand::u64(50..700)));
            later(actions, for_s, move || c.state_links[node].set(Link::Open));
        }
        9 => {
            let workers = cluster.cloud.workers();
            for w in workers.iter().filter(|_| fastrand::bool()) {
                let w = Arc::clone(w);
                w.cut.store(true, Ordering::Relaxed);
                later(actions, for_s, move || {
                    w.cut.store(false, Ordering::Relaxed)
                });
            }
        }
        10 => {
            for w in cluster.cloud.workers().iter().filter(|_| fastrand::bool()) {
                let w = Arc::clone(w);
                w.deaf.store(true, Ordering::Relaxed);
                later(actions, for_s, move || {
                    w.deaf.store(false, Ordering::Relaxed)
                });
            }
        }
        _ => {
            for w in cluster.cloud.workers().iter().filter(|_| fastrand::bool()) {
                let w = Arc::clone(w);
                w.late_ms.store(fastrand::u64(500..3500), Ordering::Relaxed);
                later(actions, for_s, move || {
                    w.late_ms.store(0, Ordering::Relaxed)
                });
            }
        }
    }
}
