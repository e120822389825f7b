//! Compatibility with bytes recorded from an earlier release: each message and each stored
//! record is decoded and encoded to the same bytes.
//!
//! `formats/recorded.tsv` and `formats/accepted.tsv` are never regenerated. New formats and new
//! variants add lines; no line is changed or removed.

use pulleywood_protocol::cbor::{self, Amount, Value};
use pulleywood_protocol::cloud::{
    Flavor, Flavors, MachineNames, Rental, RentalPage, RentalRequest, RentalStatus,
};
use pulleywood_protocol::job::JobAnswer;
use pulleywood_protocol::job_batch::{BatchHead, JobBatchRecord};
use pulleywood_protocol::machine_batch::MachineBatchRecord;
use pulleywood_protocol::peer::{
    Demand, Digest, MachineDigest, PeerRequest, PeerResponse, ShardDigest,
};
use pulleywood_protocol::record::{
    ChunkRecord, FencingTokenCounter, FinalRecord, JobRecord, Layout, LeaseHolder, MachineRecord,
    PreviousLeaseHolder, QuotaRecord, Slots, TaskTransfer,
};
use pulleywood_protocol::settings::Settings;
use pulleywood_protocol::store::{
    Compare, Event, Events, Item, LeaseGranted, LeaseRequest, Page, StoreRevision, Transaction,
    TransactionConflict, Write,
};
use pulleywood_protocol::worker::{
    Cause, Command, ControlCommand, DirectCommand, Heartbeat, HeartbeatResponse, Redirect,
    TaskState, TaskStatus,
};
use pulleywood_protocol::{
    Attempt, FencingToken, JobId, JobSpec, JobStatus, LeaseId, MachineId, MemberId, MonotonicTime,
    Rank, Revision, Shape, ShardId, TaskId,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

type Error = Box<dyn std::error::Error>;

/// Decodes bytes as one format and encodes the result.
type Reencode = fn(&[u8]) -> Result<Vec<u8>, Error>;

/// For bodies of HTTP messages, which are CBOR.
fn message<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    Ok(cbor::encode(&cbor::decode::<T>(bytes)?))
}

/// For messages between controllers, which are MessagePack with structs as arrays.
fn peer<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    Ok(rmp_serde::to_vec(&rmp_serde::from_slice::<T>(bytes)?)?)
}

/// For values of the state service.
fn stored<T: Serialize + DeserializeOwned>(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let value: Value = cbor::decode(bytes)?;
    let record: T = cbor::from_value(&value)?;
    Ok(cbor::encode(&cbor::to_value(&record)))
}

fn stored_machine_batch(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let record = MachineBatchRecord::from_value(&cbor::decode(bytes)?)?;
    Ok(cbor::encode(&cbor::to_value(&record)))
}

fn stored_job_batch(bytes: &[u8]) -> Result<Vec<u8>, Error> {
    let record = JobBatchRecord::from_value(&cbor::decode(bytes)?)?;
    Ok(cbor::encode(&cbor::to_value(&record)))
}

/// Builds the table of formats from rows of a format name, an encoding and a type.
macro_rules! formats {
    ($($name:literal $encoding:ident $kind:ident,)*) => {
        &[$(($name, stringify!($kind), formats!(@ $encoding $kind)),)*]
    };
    (@ stored_machine_batch $kind:ident) => { stored_machine_batch };
    (@ stored_job_batch $kind:ident) => { stored_job_batch };
    (@ $encoding:ident $kind:ident) => { $encoding::<$kind> };
}

/// Name, Rust type and re-encoding function of each format.
const FORMATS: &[(&str, &str, Reencode)] = formats! {
    "user/submission" message JobSpec,
    "user/shape" message Shape,
    "user/rank" message Rank,
    "user/status" message JobStatus,
    "user/answer" message JobAnswer,
    "worker/heartbeat" message Heartbeat,
    "worker/task_status" message TaskStatus,
    "worker/task_state" message TaskState,
    "worker/exit_cause" message Cause,
    "worker/command" message Command,
    "worker/heartbeat_response" message HeartbeatResponse,
    "worker/redirect" message Redirect,
    "worker/direct_command" message DirectCommand,
    "worker/control_command" message ControlCommand,
    "cloud/machine_type" message Flavor,
    "cloud/machine_types" message Flavors,
    "cloud/rental_request" message RentalRequest,
    "cloud/machine_names" message MachineNames,
    "cloud/rental_status" message RentalStatus,
    "cloud/rental" message Rental,
    "cloud/rental_page" message RentalPage,
    "store/item" message Item,
    "store/page" message Page,
    "store/compare" message Compare,
    "store/write" message Write,
    "store/transaction" message Transaction,
    "store/refused" message TransactionConflict,
    "store/revision" message StoreRevision,
    "store/lease_request" message LeaseRequest,
    "store/lease_granted" message LeaseGranted,
    "store/event" message Event,
    "store/events" message Events,
    "stored/layout" stored Layout,
    "stored/token_counter" stored FencingTokenCounter,
    "stored/holder" stored LeaseHolder,
    "stored/last_holder" stored PreviousLeaseHolder,
    "stored/machine" stored MachineRecord,
    "stored/machine_batch" stored_machine_batch MachineBatchRecord,
    "stored/slots" stored Slots,
    "stored/quota" stored QuotaRecord,
    "stored/transfer" stored TaskTransfer,
    "stored/job" stored JobRecord,
    "stored/done_chunk" stored ChunkRecord,
    "stored/final" stored FinalRecord,
    "stored/batch_head" stored BatchHead,
    "stored/job_batch" stored_job_batch JobBatchRecord,
    "peer/request" peer PeerRequest,
    "peer/reply" peer PeerResponse,
    "peer/digest" peer Digest,
    "peer/shard_digest" peer ShardDigest,
    "peer/demand" peer Demand,
    "peer/machine_digest" peer MachineDigest,
    "settings/all" message Settings,
    "id/fencing_token" message FencingToken,
    "id/revision" message Revision,
    "id/lease" message LeaseId,
    "id/attempt" message Attempt,
    "id/machine" message MachineId,
    "id/controller" message MemberId,
    "id/shard" message ShardId,
    "id/job" message JobId,
    "id/task" message TaskId,
    "id/time" message MonotonicTime,
    "id/amount" message Amount,
};

/// Sections of the settings file, recorded as part of `settings/all`.
const SETTINGS_SECTIONS: &[&str] = &[
    "Seed",
    "Services",
    "Cluster",
    "Team",
    "ServiceLevelObjective",
    "Workers",
    "StateLimits",
    "CloudLimits",
    "Resources",
];

fn reencode(format: &str) -> Reencode {
    let row = FORMATS.iter().find(|(name, ..)| *name == format);
    row.unwrap_or_else(|| panic!("format {format} is recorded but missing in FORMATS"))
        .2
}

/// Rows of a recorded file, which consist of a format, a case and byte strings in hex.
fn rows(file: &str) -> Vec<Vec<String>> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/formats")
        .join(file);
    let text = std::fs::read_to_string(&path).unwrap();
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .map(|line| line.split('\t').map(str::to_owned).collect())
        .collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn every_recorded_value_is_decoded_and_encoded_to_the_same_bytes() {
    for row in rows("recorded.tsv") {
        let [format, case, recorded] = &row[..] else {
            panic!("malformed row {row:?}")
        };
        match reencode(format)(&bytes(recorded)) {
            Ok(again) => assert_eq!(hex(&again), *recorded, "{format} {case}"),
            Err(error) => panic!("{format} {case}: {error}"),
        }
    }
}

#[test]
fn bytes_that_other_releases_may_write_are_decoded_as_recorded() {
    for row in rows("accepted.tsv") {
        let [format, case, accepted, expected] = &row[..] else {
            panic!("malformed row {row:?}")
        };
        match reencode(format)(&bytes(accepted)) {
            Ok(again) => assert_eq!(hex(&again), *expected, "{format} {case}"),
            Err(error) => assert_eq!("refused", expected, "{format} {case}: {error}"),
        }
    }
}

#[test]
fn every_format_in_the_table_is_recorded() {
    let recorded: BTreeSet<String> = rows("recorded.tsv")
        .into_iter()
        .map(|row| row[0].clone())
        .collect();
    for (format, ..) in FORMATS {
        assert!(
            recorded.contains(*format),
            "format {format} has no recorded bytes"
        );
    }
}

/// All files in a folder and its subfolders.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path());
    entries
        .flat_map(|path| {
            if path.is_dir() {
                sources(&path)
            } else {
                vec![path]
            }
        })
        .collect()
}

/// The public types of a source file that serde serializes or deserializes, with the number of
/// variants of enums.
fn serialized_types(text: &str) -> Vec<(String, Option<usize>)> {
    let mut types = Vec::new();
    let mut derives = String::new();
    let lines: Vec<&str> = text.lines().collect();
    for (line_index, line) in lines.iter().enumerate() {
        let words: Vec<&str> = line
            .split(|c: char| !c.is_alphanumeric() && c != '_')
            .filter(|word| !word.is_empty())
            .collect();
        if line.starts_with("#[derive") || (derives.ends_with('\u{1}') && !line.starts_with("pub "))
        {
            derives.push_str(line);
            derives.push('\u{1}');
        }
        match words[..] {
            ["pub", "struct", name, ..] if derives.contains("ialize") => {
                types.push((name.to_owned(), None))
            }
            ["pub", "enum", name, ..] if derives.contains("ialize") => {
                let body = lines[line_index + 1..]
                    .iter()
                    .take_while(|line| **line != "}");
                let variants = body.filter(|line| {
                    line.starts_with("    ") && line.as_bytes()[4].is_ascii_uppercase()
                });
                types.push((name.to_owned(), Some(variants.count())));
            }
            _ => {}
        }
        if line.starts_with("pub ") || line.is_empty() {
            derives.clear();
        }
        if line.starts_with("impl")
            && line.contains("ialize")
            && let Some((_, name)) = line.split_once(" for ")
        {
            types.push((name.trim_end_matches([' ', '{']).to_owned(), None));
        }
        // A type that is declared by a macro of this file has its name alone on a line.
        if line.starts_with("    ")
            && line.len() > 4
            && line[4..].chars().all(char::is_alphanumeric)
            && line.as_bytes()[4].is_ascii_uppercase()
        {
            types.push((line.trim().to_owned(), None));
        }
    }
    types
}

#[test]
fn every_serialized_type_is_recorded_with_all_its_variants() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let recorded = rows("recorded.tsv");
    let mut checked = 0;
    for source in sources(&folder) {
        let text = std::fs::read_to_string(&source).unwrap();
        for (name, variants) in serialized_types(&text) {
            let row = FORMATS.iter().find(|(_, kind, _)| *kind == name);
            let listed = row.is_some() || SETTINGS_SECTIONS.contains(&name.as_str());
            assert!(
                listed,
                "type {name} of {} is in no recorded format",
                source.display()
            );
            checked += 1;
            if let (Some((format, ..)), Some(variants)) = (row, variants) {
                let cases = recorded.iter().filter(|case| case[0] == *format).count();
                assert!(
                    cases >= variants,
                    "enum {name} has {variants} variants, but only {cases} recorded cases"
                );
            }
        }
    }
    // Guards against a search that finds too few types.
    assert!(checked >= FORMATS.len(), "only {checked} types found");
}
