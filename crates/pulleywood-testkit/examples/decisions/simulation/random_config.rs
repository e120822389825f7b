//! Random settings of the scheduler.

use fastrand::Rng;
use pulleywood_protocol::cbor::Amount;
use pulleywood_protocol::cloud::Flavor;
use pulleywood_protocol::record::Slots;
use pulleywood_protocol::settings::ServiceLevelObjective;
use pulleywood_scheduler::Config;
use pulleywood_scheduler::config::Team;
use pulleywood_testkit::samples;
use std::collections::BTreeMap;

fn flavor(label: &str, cpus: f64, gpus: f64, memory_gb: f64, price: f64, zones: &[&str]) -> Flavor {
    Flavor {
        label: label.into(),
        cpus: Amount(cpus),
        gpus: Amount(gpus),
        memory_gb: Amount(memory_gb),
        cache_gb: Amount(20.0),
        fetch_gb_per_s: Amount(1.0),
        price: Amount(price),
        spot_price: Amount(price * 0.3),
        boot_s: Amount(12.0),
        zones: zones.iter().map(|zone| (*zone).to_owned()).collect(),
    }
}

fn slots(cpus: f64, gpus: f64) -> Slots {
    Slots {
        cpus: Amount(cpus),
        gpus: Amount(gpus),
    }
}

/// Settings of a cluster with one to three shards, drawn from `rng`.
pub fn random_config(rng: &mut Rng) -> Config {
    let shards = rng.u32(1..4);
    let mut config = samples::config(shards);
    let zones = ["a", "b", "c"];
    config.zones = zones.iter().map(|zone| (*zone).to_owned()).collect();
    if rng.bool() {
        config.controller_zones = config.zones.clone();
    }
    config.chunk_tasks = 64;
    config.max_batch_operations = 8 + rng.usize(0..12);
    let flavors = [
        flavor("g4", 16.0, 4.0, 64.0, 4.0, &["a", "b"]),
        flavor("c16", 16.0, 0.0, 32.0, 1.0, &zones),
        flavor("m8", 8.0, 0.0, 128.0, 1.5, &["b", "c"]),
    ];
    config.flavors = flavors
        .into_iter()
        .map(|flavor| (flavor.label.clone(), flavor))
        .collect();
    let team = |guarantee, limit, weight| Team {
        guarantee,
        limit,
        weight,
    };
    let limit = slots(rng.f64() * 200.0, rng.f64() * 20.0);
    config.teams = BTreeMap::from([
        ("red".to_owned(), team(slots(16.0, 2.0), limit, 1.0)),
        (
            "blue".to_owned(),
            team(slots(24.0, 4.0), slots(0.0, 0.0), 2.0),
        ),
        (
            "green".to_owned(),
            team(slots(0.0, 0.0), slots(0.0, 0.0), 0.5),
        ),
    ]);
    let objective = |kind: &str, class: Option<&str>, within_s| ServiceLevelObjective {
        kind: kind.into(),
        class: class.map(str::to_owned),
        within_s,
        share: 0.9,
    };
    config.objectives = vec![
        objective("started", None, 60.0),
        objective("finished", Some("short"), 90.0),
    ];
    config.policy.patience_s = 20.0 + rng.f64() * 40.0;
    config.policy.idle_s = rng.f64() * 30.0;
    config.policy.cushion = rng.f64() * 0.3;
    config
}
