//! `docs/outer-names.txt` lists all names with which the types of this crate, settings
//! included, are serialized.

use pulleywood_protocol::settings::Settings;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use syn::{Attribute, Fields, Item, ItemEnum, LitStr};

/// How a type renames its fields or variants.
#[derive(Clone, Copy, PartialEq)]
enum Case {
    AsWritten,
    Snake,
}

/// The serde attributes of a type, field or variant that determine its serialized name.
struct SerdeAttributes {
    rename: Option<String>,
    case: Case,
    tag: Option<String>,
    skipped: bool,
    untagged: bool,
}

impl SerdeAttributes {
    /// Panics on an unknown attribute, since it may change a name.
    fn read(attributes: &[Attribute]) -> SerdeAttributes {
        let mut serde_attributes = SerdeAttributes {
            rename: None,
            case: Case::AsWritten,
            tag: None,
            skipped: false,
            untagged: false,
        };
        for attribute in attributes.iter().filter(|a| a.path().is_ident("serde")) {
            let parsed = attribute.parse_nested_meta(|meta| {
                let key = meta.path.require_ident()?.to_string();
                let value = match meta.value() {
                    Ok(value) => Some(value.parse::<LitStr>()?.value()),
                    Err(_) => None,
                };
                match (key.as_str(), value) {
                    ("rename", Some(name)) => serde_attributes.rename = Some(name),
                    ("rename_all", Some(case)) if case == "snake_case" => {
                        serde_attributes.case = Case::Snake
                    }
                    ("tag", Some(name)) => serde_attributes.tag = Some(name),
                    ("skip", None) => serde_attributes.skipped = true,
                    ("untagged", None) => serde_attributes.untagged = true,
                    ("default" | "skip_serializing_if" | "from" | "into" | "try_from", _)
                    | ("other" | "transparent", None) => {}
                    (key, _) => return Err(meta.error(format!("unknown serde attribute {key}"))),
                }
                Ok(())
            });
            parsed.unwrap();
        }
        serde_attributes
    }

    /// The serialized name of a field or variant that the source calls `name`.
    fn outer_name(&self, name: &str, container: Case) -> String {
        match (&self.rename, container) {
            (Some(renamed), _) => renamed.clone(),
            (None, Case::AsWritten) => name.to_owned(),
            (None, Case::Snake) => snake_case(name),
        }
    }
}

fn snake_case(name: &str) -> String {
    let mut snake = String::new();
    for character in name.chars() {
        if character.is_ascii_uppercase() && !snake.is_empty() {
            snake.push('_');
        }
        snake.push(character.to_ascii_lowercase());
    }
    snake
}

/// Whether the type derives `Serialize` or `Deserialize`.
fn is_serialized(attributes: &[Attribute]) -> bool {
    let derives = attributes.iter().filter(|a| a.path().is_ident("derive"));
    let mut is_derived = false;
    for derive in derives {
        let parsed = derive.parse_nested_meta(|meta| {
            let name = &meta.path.segments.last().unwrap().ident;
            is_derived |= name == "Serialize" || name == "Deserialize";
            Ok(())
        });
        parsed.unwrap();
    }
    is_derived
}

fn field_names(fields: &Fields, container: Case, names: &mut BTreeSet<String>) {
    for field in fields {
        let attributes = SerdeAttributes::read(&field.attrs);
        if let (false, Some(name)) = (attributes.skipped, &field.ident) {
            names.insert(attributes.outer_name(&name.to_string(), container));
        }
    }
}

fn variant_names(item: &ItemEnum, container: &SerdeAttributes, names: &mut BTreeSet<String>) {
    for variant in &item.variants {
        let attributes = SerdeAttributes::read(&variant.attrs);
        if !container.untagged {
            names.insert(attributes.outer_name(&variant.ident.to_string(), container.case));
        }
        field_names(&variant.fields, attributes.case, names);
    }
}

/// The serialized names of the fields and variants of all types in a source file.
fn outer_names(source: &str) -> BTreeSet<String> {
    let mut names = BTreeSet::new();
    for item in syn::parse_file(source).unwrap().items {
        match item {
            Item::Struct(item) if is_serialized(&item.attrs) => {
                let container = SerdeAttributes::read(&item.attrs);
                field_names(&item.fields, container.case, &mut names);
            }
            Item::Enum(item) if is_serialized(&item.attrs) => {
                let container = SerdeAttributes::read(&item.attrs);
                names.extend(container.tag.clone());
                variant_names(&item, &container, &mut names);
            }
            _ => {}
        }
    }
    names
}

fn source_files(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            source_files(&path, files);
        } else if path.extension().is_some_and(|e| e == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn every_serde_name_and_settings_key_is_listed() {
    let crate_folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let list = std::fs::read_to_string(crate_folder.join("../../docs/outer-names.txt")).unwrap();
    let listed: BTreeSet<&str> = list.lines().filter(|l| !l.starts_with('#')).collect();
    let mut files = Vec::new();
    source_files(&crate_folder.join("src"), &mut files);
    let mut name_count = 0;
    for file in files {
        for name in outer_names(&std::fs::read_to_string(&file).unwrap()) {
            name_count += 1;
            let is_listed = listed.contains(name.as_str());
            assert!(
                is_listed,
                "{name} of {} is not in docs/outer-names.txt",
                file.display()
            );
        }
    }
    assert!(name_count > 200, "only {name_count} names found");
}

#[test]
fn names_follow_the_serde_attributes() {
    let source = r#"
        #[derive(Debug, Serialize)]
        #[serde(tag = "verb", rename_all = "snake_case")]
        enum Command {
            LaunchTask { #[serde(rename = "try")] attempt: u64, #[serde(skip)] cached: u64 },
            #[serde(rename = "halt")]
            Stop(u64),
        }
        #[derive(Deserialize)]
        struct Page { first: u64, #[serde(rename = "ledger", default)] revision: u64 }
        struct Internal { hidden: u64 }
    "#;
    let expected = ["first", "halt", "launch_task", "ledger", "try", "verb"];
    assert!(outer_names(source).into_iter().eq(expected));
}

#[test]
fn settings_are_read_and_written_under_the_same_keys() {
    let settings = serde_json::json!({
        "member": "c-0", "domain": "a",
        "serve_on": "127.0.0.1:1", "cluster_listen": "127.0.0.1:2",
        "seeds": [{"member": "c-1", "domain": "b", "endpoint": "127.0.0.1:3"}],
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "cluster": {
            "initial_size": 2, "zones": ["a", "b"],
            "teams": [
                {"name": "red", "cpus": 1.0, "cpus_max": 2.0, "gpus": 3.0, "gpus_max": 4.0}
            ],
            "objectives": [
                {"kind": "finished", "class": "batch", "within_s": 100.0, "share": 0.85}
            ],
            "workers": {"report_s": 2.5, "lease_s": 16.0, "cancel_s": 36.0},
            "state": {"rps": 200.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 16},
            "cloud": {"rps": 6.0, "list_lag_s": 5.0},
            "resources": {
                "cores": 0.25, "ram_mb": 104.0, "max_sockets": 1800, "max_threads": 2000
            },
            "clock_error_ms": 1000.0
        }
    });
    let read: Settings = serde_json::from_value(settings.clone()).unwrap();
    assert_eq!(serde_json::to_value(read).unwrap(), settings);
}
