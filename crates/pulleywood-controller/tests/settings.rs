//! Settings, policy scripts and the command line: each error names the invalid key or option.

use pulleywood_controller::policy::{self, OperatorPolicy};
use pulleywood_controller::settings;
use pulleywood_scheduler::config::Policy;
use serde_json::{Value, json};
use std::process::Command;

fn valid_settings() -> Value {
    json!({
        "member": "c-0", "domain": "a",
        "serve_on": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2",
        "seeds": [{"member": "c-1", "domain": "a", "endpoint": "127.0.0.1:3"}],
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "cluster": {
            "initial_size": 2, "zones": ["a"], "new_field": 1,
            "teams": [{"name": "red", "gpus_max": 4.0}],
            "workers": {"report_s": 1.0, "lease_s": 10.0, "cancel_s": 40.0},
            "state": {"rps": 100.0, "write_rps": 20, "value_kb": 8.0, "txn_ops": 12},
            "cloud": {"rps": 2.0, "list_lag_s": 5.0},
            "resources": {"cores": 0.1, "ram_mb": 64.0, "max_sockets": 500, "max_threads": 2000}
        }
    })
}

#[test]
fn invalid_settings_are_reported_with_their_path() {
    assert!(settings::parse(&valid_settings().to_string(), "x.json").is_ok());
    let cases = [
        ("/serve_on", json!("somewhere"), "serve_on"),
        ("/seeds/0/endpoint", json!("c-1:80"), "seeds[0].endpoint"),
        (
            "/cluster/workers/lease_s",
            json!(0.0),
            "cluster.workers.lease_s",
        ),
        (
            "/cluster/state/write_rps",
            json!(-1.0),
            "cluster.state.write_rps",
        ),
        (
            "/cluster/state/value_kb",
            json!(2.0),
            "cluster.state.value_kb",
        ),
        ("/cluster/state/txn_ops", json!(2), "cluster.state.txn_ops"),
        (
            "/cluster/teams/0/gpus_max",
            json!(-4.0),
            "cluster.teams[0].gpus_max",
        ),
        ("/cluster/initial_size", json!(0), "cluster.initial_size"),
        (
            "/cluster/resources/max_sockets",
            json!(3),
            "cluster.resources.max_sockets",
        ),
        // Too few sockets for the peers and one worker, too little memory for the stacks of
        // threads, too few threads.
        (
            "/cluster/resources/max_sockets",
            json!(40),
            "cluster.resources.max_sockets",
        ),
        (
            "/cluster/resources/ram_mb",
            json!(2.0),
            "cluster.resources.ram_mb",
        ),
        (
            "/cluster/resources/max_threads",
            json!(80),
            "cluster.resources.max_threads",
        ),
        ("/cluster/cloud", json!({"rps": 2.0}), "list_lag_s"),
        (
            "/cluster/workers/cancel_s",
            json!(12.0),
            "cluster.workers.cancel_s",
        ),
        ("/cluster/state/rps", json!(3.5), "cluster.state.rps"),
        (
            "/cluster/state/write_rps",
            json!(0.4),
            "cluster.state.write_rps",
        ),
    ];
    for (path, value, expected) in cases {
        let mut settings = valid_settings();
        *settings.pointer_mut(path).unwrap() = value;
        let error = settings::parse(&settings.to_string(), "x.json").unwrap_err();
        let text = error.to_string();
        assert!(
            text.starts_with("x.json: ") && text.contains(expected),
            "{text}"
        );
    }
}

#[test]
fn a_policy_script_changes_settings_and_rejects_anything_else() {
    let settings = settings::parse(&valid_settings().to_string(), "x.json").unwrap();
    let defaults = Policy::defaults(&settings);
    let base = || OperatorPolicy::defaults(&settings);
    let run = |text: &str| policy::run(text, "p.lua", &settings, base()).map(|p| p.scheduler);
    assert_eq!(run("return {}").unwrap(), defaults);
    let policy = run("return { cushion = defaults.cushion * 2, weights = { [teams[1]] = 3 } }");
    let policy = policy.unwrap();
    assert_eq!(policy.cushion, defaults.cushion * 2.0);
    assert_eq!(policy.weights["red"], 3.0);
    let invalid = [
        ("return 5", "p.lua"),
        ("return {", "p.lua"),
        ("return { speed = 1 }", "speed"),
        ("return { idle_s = -1 }", "idle_s"),
        ("return { idle_s = 0/0 }", "idle_s"),
        ("return { sick_jobs = 1.5 }", "sick_jobs"),
        ("return { weights = { blue = 1 } }", "weights.blue"),
        ("return { weights = { red = 0 } }", "weights.red"),
        ("while true do end", "too long"),
        ("return { idle_s = #string.rep('x', 1e9) }", "memory"),
        (
            "return { idle_s = #io.open('/etc/passwd'):read('a') }",
            "io",
        ),
        ("return os.getenv('HOME')", "os"),
        ("return load('return {}')()", "load"),
    ];
    for (text, expected) in invalid {
        let error = run(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn the_recovery_table_switches_the_recovery_subsystem_on() {
    let settings = settings::parse(&valid_settings().to_string(), "x.json").unwrap();
    let defaults = OperatorPolicy::defaults(&settings);
    assert_eq!(defaults.recovery, None);
    let run = |text: &str, base| policy::run(text, "p.lua", &settings, base);
    let enabled = run("return { recovery = {} }", defaults.clone()).unwrap();
    assert_eq!(enabled.recovery, Some(Default::default()));
    // A later script reads and changes the values that a previous one has set.
    let first = run(
        "return { recovery = { audit_slice = 7 } }",
        defaults.clone(),
    )
    .unwrap();
    let double = "return { recovery = { audit_slice = defaults.recovery.audit_slice * 2 } }";
    let second = run(double, first).unwrap();
    assert_eq!(second.recovery.unwrap().audit_slice_size(), 14);
    let invalid = [
        ("return { recovery = 5 }", "recovery: must be a table"),
        ("return { recovry = {} }", "did you mean `recovery`"),
        ("return { cushon = 1 }", "did you mean `cushion`"),
        (
            "return { recovery = { audit_slize = 5 } }",
            "recovery.audit_slize: no such setting; did you mean `audit_slice`?",
        ),
        (
            "return { recovery = { audit_every_s = 0 } }",
            "recovery.audit_every_s: must be from 0.2 to 3600",
        ),
        (
            "return { recovery = { audit_slice = 1.5 } }",
            "recovery.audit_slice: must be a whole number",
        ),
        (
            "return { recovery = { services_first_s = 'long' } }",
            "recovery.services_first_s: must be a number",
        ),
        ("return { weights = { rad = 2 } }", "did you mean `red`"),
    ];
    for (text, expected) in invalid {
        let error = run(text, defaults.clone()).expect_err(text).to_string();
        assert!(error.starts_with("p.lua: "), "{error}");
        assert!(error.contains(expected), "{text}: {error}");
    }
}

#[test]
fn the_policy_scripts_in_deploy_work_together() {
    let settings = settings::parse(&valid_settings().to_string(), "x.json").unwrap();
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let files = std::fs::read_dir(deploy)
        .unwrap()
        .map(|f| f.unwrap().path());
    let mut scripts: Vec<_> = files
        .filter(|f| f.extension().is_some_and(|e| e == "lua"))
        .collect();
    scripts.sort();
    let policy = policy::load(&scripts, &settings).unwrap();
    assert!(policy.recovery.is_some());
    assert_eq!(policy.scheduler, Policy::defaults(&settings));
}

#[test]
fn the_command_line_reports_results_and_exit_codes() {
    let file = std::env::temp_dir().join(format!("pulleywood-cli-{}.json", std::process::id()));
    std::fs::write(&file, valid_settings().to_string()).unwrap();
    let name = file.to_str().unwrap();
    let deploy = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/recovery.lua");
    let lua = file.with_extension("lua");
    std::fs::write(&lua, "return { recovery = { audit_slicer = 3 } }").unwrap();
    let invalid_lua = lua.to_str().unwrap();
    let cases: [(&[&str], i32, &str); 10] = [
        (
            &["--check", "--config", name, "--policy", deploy],
            0,
            "can be used",
        ),
        (
            &[
                "--check",
                "--config",
                name,
                "--policy",
                deploy,
                "--policy",
                invalid_lua,
            ],
            2,
            "recovery.audit_slicer: no such setting; did you mean `audit_slice`?",
        ),
        (&["inspect"], 2, "--config"),
        (
            &["inspect", "--config", name],
            3,
            "the state service at 127.0.0.1:5 cannot be read",
        ),
        (
            &["inspect", "--config", "/nowhere.json"],
            2,
            "/nowhere.json",
        ),
        (&["--version"], 0, "pulleywood 0."),
        (&["--help"], 0, "--policy"),
        (&["--check", "--config", name], 0, "can be used"),
        (
            &["--check", "--config", "/nowhere.json"],
            2,
            "/nowhere.json",
        ),
        (&["--config"], 2, "--config"),
    ];
    for (args, code, expected) in cases {
        let run = Command::new(env!("CARGO_BIN_EXE_pulleywood"))
            .args(args)
            .output()
            .unwrap();
        let text = [run.stdout, run.stderr].concat();
        let text = String::from_utf8_lossy(&text);
        assert_eq!(run.status.code(), Some(code), "{args:?}: {text}");
        assert!(text.contains(expected), "{args:?}: {text}");
    }
    std::fs::remove_file(&file).unwrap();
    std::fs::remove_file(&lua).unwrap();
}
