//! Id types, revisions and fencing tokens.

use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! numeric_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub std::sync::Arc<str>);
        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

numeric_id!(
    /// A fencing token, issued from one shared counter. A worker obeys commands only under the
    /// highest fencing token that it has seen.
    FencingToken
);
numeric_id!(
    /// The revision at which a key of the state service last changed; 0 if it does not exist.
    Revision
);
numeric_id!(
    /// Id of a lease of the state service.
    LeaseId
);
numeric_id!(
    /// Id of an attempt to run a task. It is never reused.
    Attempt
);

text_id!(
    /// Name of a machine.
    MachineId
);
text_id!(
    /// Name of a controller.
    MemberId
);

/// Id of a shard of the machines and jobs, which at most one controller leads at a time.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Maximum number of attempts that can be issued under one fencing token.
const ATTEMPTS_PER_FENCING_TOKEN: u64 = 1 << 21;

impl FencingToken {
    /// The last fencing token under which attempts can be issued. The counter never gets that
    /// far, so a worker that reports this or a higher token is faulty.
    pub const LAST: FencingToken = FencingToken((1 << 32) - 1);

    /// The fencing token that is issued after this one.
    pub fn next(self) -> FencingToken {
        FencingToken(self.0 + 1)
    }
}

impl Attempt {
    /// Combines a fencing token and a counter of attempts under this token into one integer
    /// below 2^53, so that attempts of different leaders are unique without a write.
    ///
    /// Returns `None` if the attempts of the fencing token are used up: the leader then needs
    /// a new fencing token, since ids must not be reused.
    pub fn from_parts(fencing_token: FencingToken, counter: u64) -> Option<Attempt> {
        (counter < ATTEMPTS_PER_FENCING_TOKEN && fencing_token <= FencingToken::LAST).then_some(
            Attempt(fencing_token.0 * ATTEMPTS_PER_FENCING_TOKEN + counter),
        )
    }

    /// The fencing token this attempt was issued under.
    pub fn fencing_token(self) -> FencingToken {
        FencingToken(self.0 / ATTEMPTS_PER_FENCING_TOKEN)
    }
}

/// Id of a job: `j-` and 1 to 40 digits.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(transparent)]
pub struct JobId(std::sync::Arc<str>);

impl JobId {
    /// Parses an id; `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<JobId> {
        let digits = text.strip_prefix("j-")?;
        let is_valid =
            (1..=40).contains(&digits.len()) && digits.bytes().all(|b| b.is_ascii_digit());
        is_valid.then(|| JobId(text.into()))
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The shard in the key of the job's record, which need not be the shard that runs the job.
    pub fn shard(&self, shard_count: u32) -> ShardId {
        shard_of(&self.0, shard_count)
    }
}

impl MachineId {
    /// The shard that the machine's id hashes to. It selects the shard that registers the machine,
    /// unless the leader of that shard cannot.
    pub fn shard(&self, shard_count: u32) -> ShardId {
        shard_of(&self.0, shard_count)
    }
}

/// Maps an id to a shard by FNV-1a. The hash never changes, so that all controllers and releases
/// agree.
fn shard_of(text: &str, shard_count: u32) -> ShardId {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in text.bytes() {
        hash ^= u64::from(byte);
        hash = hash.wrapping_mul(0x0100_0000_01b3);
    }
    ShardId(((hash >> 16) % u64::from(shard_count.max(1))) as u32)
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl<'de> Deserialize<'de> for JobId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        JobId::parse(&text).ok_or_else(|| {
            serde::de::Error::custom("malformed job id: expected `j-` and 1 to 40 digits")
        })
    }
}

/// Id of a task, written as `j-000412/3`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task within the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

impl TaskId {
    /// Parses an id such as `j-000412/3`; `None` if the text is malformed.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl Serialize for TaskId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for TaskId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        TaskId::parse(&text).ok_or_else(|| {
            serde::de::Error::custom("malformed task id: expected a job id, `/` and an index")
        })
    }
}
