//! The cases.

use crate::Verdict;
use crate::cluster::{Cluster, Options, array, member, polder12};
use crate::record::Record;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::job::JobStatus;
use pulleywood_protocol::record::{JobRecord, job_key};
use pulleywood_protocol::{JobSpec, Rank};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

const ZONES: [&str; 2] = ["delft-zaal", "utrecht-zaal"];

pub fn run(
    case: &str,
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Verdict, String> {
    record.line(&format!(
        "case {case}, {}",
        if trouble { "with trouble" } else { "TROUBLE=0" }
    ));
    match case {
        "cancelled" => cancelled(root, folder, trouble, record),
        "limits" => limits(root, folder, trouble, record),
        "quota" => quota(root, folder, trouble, record),
        "array" => long_array(root, folder, trouble, record),
        "grow" => grow(root, folder, record),
        _ => Err(format!("no case {case}")),
    }
}

/// Settings of the small Delta deployment.
fn delta(teams: Value) -> Value {
    json!({
        "initial_size": 3,
        "zones": ZONES,
        "teams": teams,
        "objectives": [],
        "workers": {
            "report_s": 1.0, "lease_s": 10.0,
            "gang_wait_s": 45.0, "gang_peer_s": 6.0, "cancel_s": 40.0,
        },
        "state": { "rps": 150.0, "write_rps": 40.0, "value_kb": 8.0, "txn_ops": 12 },
        "cloud": { "rps": 2.0, "list_lag_s": 8.0 },
        "resources": { "cores": 0.04, "ram_mb": 56.0, "max_sockets": 800 },
        "clock_error_ms": 1000.0,
    })
}

fn options(root: PathBuf, folder: PathBuf, cluster: Value) -> Options {
    let kinds = ZONES
        .iter()
        .flat_map(|zone| [(*zone, true), (*zone, false)]);
    Options {
        root,
        folder,
        cluster,
        domains: vec![ZONES[0], ZONES[1], ZONES[0]],
        jobs: Vec::new(),
        flavor: polder12(&ZONES),
        capacity: kinds
            .map(|(zone, spot)| ((zone.to_owned(), spot), 7))
            .collect(),
    }
}

/// A job is cancelled while the controller that launches its tasks is cut from the state service
/// and the other controllers.
fn cancelled(
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Verdict, String> {
    let teams = json!([{ "name": "reeksenbeheer", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0 }]);
    let options = options(root, folder, delta(teams));
    let cluster = Cluster::start(options, Arc::clone(record), Duration::from_secs(110))?;
    // All tasks run in one zone, and so in one shard.
    let job = JobSpec {
        one_zone: true,
        ..array(412, "reeksenbeheer", 600, 5.0, 1.0, 18.0)
    };
    let id = job.id.clone();
    cluster.submit(&job, Duration::from_millis(1500))?;
    cluster.wait(
        "12 tasks of the job have started",
        Duration::from_secs(40),
        || cluster.jobs.starts_of(&id).len() >= 12,
    )?;
    std::thread::sleep(Duration::from_secs(3));
    // The controller that launched most of the last tasks.
    let mut launched: BTreeMap<usize, usize> = BTreeMap::new();
    for start in cluster.jobs.starts_of(&id).iter().rev().take(10) {
        *launched.entry(start.controller).or_default() += 1;
    }
    let Some((&busiest, _)) = launched.iter().max_by_key(|(_, count)| **count) else {
        return Err("no controller launched a task".into());
    };
    record.line(&format!("{} launches most tasks of {id}", member(busiest)));
    if trouble {
        cluster.cut(busiest, true);
        std::thread::sleep(Duration::from_millis(500));
    }
    let other = (busiest + 1) % cluster.count();
    let (heard, status) = cluster.cancel(other, &id, Duration::from_secs(20))?;
    if status != JobStatus::Cancelled {
        return Err(format!("the cancellation was answered with {status:?}"));
    }
    std::thread::sleep(Duration::from_secs(20));
    if trouble {
        cluster.cut(busiest, false);
    }
    std::thread::sleep(Duration::from_secs(10));
    let starts = cluster.jobs.starts_of(&id);
    // A launch command was not in flight when the user heard of the cancellation if it answers a
    // report that was sent later.
    let late: Vec<_> = starts.iter().filter(|s| s.report_sent > heard).collect();
    for start in &late {
        record.line(&format!(
            "{} started on {} {} ms after the user heard that the job is cancelled, on command of \
             {} in the answer to a report sent {} ms after that",
            start.task,
            start.machine,
            start.at.duration_since(heard).as_millis(),
            member(start.controller),
            start.report_sent.duration_since(heard).as_millis()
        ));
    }
    Ok(match late.len() {
        0 => Verdict::Held("no task was launched after the confirmed cancellation".into()),
        count => Verdict::Broken(format!(
            "{count} tasks were launched and started after the confirmed cancellation of {id}"
        )),
    })
}

/// The state service lowers its limits to those that the settings announce.
fn limits(
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Verdict, String> {
    let teams = json!([{ "name": "reeksenbeheer", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0 }]);
    let mut settings = delta(teams);
    settings["state"]["next"] = json!({ "value_kb": 2.0, "txn_ops": 4, "write_rps": 28.0 });
    let options = options(root, folder, settings);
    let cluster = Cluster::start(options, Arc::clone(record), Duration::from_secs(115))?;
    let jobs: Vec<_> = (0..18)
        .map(|i| array(500 + i, "reeksenbeheer", 1, 1.0, 0.0, 2.0))
        .collect();
    for job in &jobs {
        cluster.submit(job, Duration::from_secs(15))?;
    }
    cluster.wait("all jobs run", Duration::from_secs(30), || {
        jobs.iter()
            .all(|j| !cluster.jobs.starts_of(&j.id).is_empty())
    })?;
    if trouble {
        let mut limits = cluster.limits.lock();
        (limits.value_kb, limits.txn_ops) = (2.0, 4);
        record.line("the state service lowered its limits: 4 changes a transaction, 2 KiB a value");
    }
    cluster.wait("all tasks have completed", Duration::from_secs(30), || {
        jobs.iter().all(|j| cluster.jobs.done_tasks(&j.id) == 1)
    })?;
    let (open, seconds) = await_done(&cluster, &jobs, Duration::from_secs(45));
    Ok(match open {
        0 => Verdict::Held("all jobs were reported as done".into()),
        open => Verdict::Broken(format!(
            "{open} of {} jobs were not reported as done {seconds} s after their only task \
             completed",
            jobs.len()
        )),
    })
}

/// The limit of a team is lowered in the settings, and all controllers are restarted one after
/// the other.
fn quota(
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Verdict, String> {
    let teams = |gpus: f64| json!([{ "name": "reeksenbeheer", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": gpus }]);
    let (before, after) = (12.0, if trouble { 4.0 } else { 12.0 });
    let options = options(root, folder, delta(teams(before)));
    let mut cluster = Cluster::start(options, Arc::clone(record), Duration::from_secs(115))?;
    for number in 600..606 {
        let mut job = array(number, "reeksenbeheer", 60, 5.0, 1.0, 18.0);
        job.estimate_s = Amount(60.0);
        cluster.submit(&job, Duration::from_secs(4))?;
    }
    cluster.wait("the team uses its limit", Duration::from_secs(40), || {
        cluster.jobs.gpus_in_use("reeksenbeheer") >= before
    })?;
    for controller in 0..cluster.count() {
        cluster.kill(controller);
        cluster.set_teams(controller, &teams(after));
        std::thread::sleep(Duration::from_secs(3));
        cluster.run(controller)?;
        cluster.wait(
            "the controller is ready again",
            Duration::from_secs(20),
            || cluster.call(controller, "GET", "/ready", None).0 == 200,
        )?;
    }
    record.line(&format!("all controllers run with a limit of {after} GPUs"));
    std::thread::sleep(Duration::from_secs(10));
    let mut most: f64 = 0.0;
    let until = Instant::now() + Duration::from_secs(30);
    while Instant::now() < until {
        let used = cluster.jobs.gpus_in_use("reeksenbeheer");
        if used > most {
            most = used;
            record.line(&format!(
                "the team's running tasks use {used} GPUs; its limit is {after}"
            ));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    if most == 0.0 {
        return Err("no task ran".into());
    }
    let text = format!("the team's tasks used up to {most} GPUs with a limit of {after}");
    Ok(if most > after {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// An array of 100,000 tasks has run for minutes. Short jobs run beside it.
fn long_array(
    root: PathBuf,
    folder: PathBuf,
    trouble: bool,
    record: &Arc<Record>,
) -> Result<Verdict, String> {
    let start = if trouble {
        "second-441.json"
    } else {
        "second-60.json"
    };
    let file = root.join("review/1").join(start);
    let text = std::fs::read_to_string(&file).map_err(|e| format!("{start}: {e}"))?;
    let array_record: JobRecord = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let teams = json!([{ "name": "reeksenbeheer", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0 }]);
    let mut options = options(root, folder, delta(teams));
    let id = array_record.spec.id.clone();
    let key = job_key(id.shard(3), &id);
    record.line(&format!(
        "the state service holds {key}, {} bytes, as in {start}",
        text.len()
    ));
    options.jobs = vec![array_record];
    let cluster = Cluster::start(options, Arc::clone(record), Duration::from_secs(117))?;
    cluster.wait(
        "40 tasks of the array have started",
        Duration::from_secs(30),
        || cluster.jobs.starts_of(&id).len() >= 40,
    )?;
    std::thread::sleep(Duration::from_secs(30));
    let jobs: Vec<_> = (0..8)
        .map(|i| JobSpec {
            rank: Rank::Urgent,
            ..array(800 + i, "reeksenbeheer", 1, 5.0, 1.0, 18.0)
        })
        .collect();
    for job in &jobs {
        cluster.submit(job, Duration::from_secs(2))?;
        std::thread::sleep(Duration::from_secs(2));
    }
    cluster.wait(
        "all short jobs have completed",
        Duration::from_secs(25),
        || jobs.iter().all(|j| cluster.jobs.done_tasks(&j.id) == 1),
    )?;
    let (open, seconds) = await_done(&cluster, &jobs, Duration::from_secs(45));
    Ok(match open {
        0 => Verdict::Held("all short jobs were reported as done".into()),
        open => Verdict::Broken(format!(
            "{open} of {} short jobs were not reported as done {seconds} s after their only task \
             completed",
            jobs.len()
        )),
    })
}

/// Asks for the jobs every 2.5 s until all are reported as done, for `limit` at most. Returns
/// how many are not, and how many seconds it asked.
fn await_done(cluster: &Cluster, jobs: &[JobSpec], limit: Duration) -> (usize, u64) {
    let completed = Instant::now();
    let mut open: Vec<_> = jobs.iter().map(|j| j.id.clone()).collect();
    while !open.is_empty() && completed.elapsed() < limit {
        std::thread::sleep(Duration::from_millis(2500));
        open.retain(|id| {
            let controller = fastrand::usize(..cluster.count());
            let (status, answer) = cluster.poll(controller, id);
            let answer = answer.map(|a| (a.status, a.done, a.running));
            cluster.record.line(&format!(
                "user asked {} for {id}: {status} {answer:?}",
                member(controller)
            ));
            answer.is_none_or(|(status, ..)| status != JobStatus::Done)
        });
    }
    (open.len(), completed.elapsed().as_secs())
}

/// No case: runs an array of 100,000 tasks beside short jobs for eight minutes, and writes the
/// array's stored record to `FOLDER/SECONDS-BYTES.json` every ten seconds. Case 1 starts from two of
/// these files.
fn grow(root: PathBuf, folder: PathBuf, record: &Arc<Record>) -> Result<Verdict, String> {
    let teams = json!([{ "name": "reeksenbeheer", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0 }]);
    let options = options(root, folder.clone(), delta(teams));
    let cluster = Cluster::start(options, Arc::clone(record), Duration::from_secs(540))?;
    let mut array_job = array(700, "reeksenbeheer", 100_000, 5.0, 1.0, 18.0);
    array_job.estimate_s = Amount(60.0);
    cluster.submit(&array_job, Duration::from_millis(1500))?;
    let began = Instant::now();
    let mut jobs: Vec<JobSpec> = Vec::new();
    let mut number = 800;
    let mut longest = Duration::ZERO;
    while began.elapsed() < Duration::from_secs(480) {
        number += 1;
        let short = JobSpec {
            rank: Rank::Urgent,
            ..array(number, "reeksenbeheer", 1, 5.0, 1.0, 18.0)
        };
        cluster.submit(&short, Duration::from_secs(2))?;
        jobs.push(short);
        std::thread::sleep(Duration::from_secs(10));
        for value in cluster
            .store
            .values(&job_key(array_job.id.shard(3), &array_job.id))
        {
            let text = serde_json::to_string(&value).map_err(|e| e.to_string())?;
            let name = format!("{:04}-{}.json", began.elapsed().as_secs(), text.len());
            std::fs::write(folder.join(name), &text).map_err(|e| e.to_string())?;
            record.line(&format!("the array's record takes {} bytes", text.len()));
        }
        // How long the oldest completed short job has waited to be told as done.
        jobs.retain(|j| {
            cluster
                .poll(0, &j.id)
                .1
                .is_none_or(|a| a.status != JobStatus::Done)
        });
        let waits = jobs.iter().filter_map(|j| cluster.jobs.done_since(&j.id));
        longest = longest.max(waits.max().unwrap_or_default());
    }
    Ok(Verdict::Held(format!(
        "a short job waited up to {} s to be told as done; {} wait",
        longest.as_secs(),
        jobs.len()
    )))
}
