//! Batches of done records: what the owner commits before workers may forget
//! their finished tasks.

use crate::config::Config;
use crate::ledger::{Job, PartLedger};
use crate::room::Room;
use pulleywood_wire::job::JobStatus;
use pulleywood_wire::record::{ChunkRecord, OverRecord, chunk_key, job_key, over_key, part_key};
use pulleywood_wire::state::Commit;
use pulleywood_wire::{JobId, Stamp};
use std::collections::BTreeSet;

/// Bytes of values in one batch; a transaction holds 64 KiB in all.
const MAX_BYTES: usize = 40 * 1024;

/// One transaction of done tasks, with what it stands for.
#[derive(Debug)]
pub struct Batch {
    /// The transaction.
    pub commit: Commit,
    /// Jobs with the tasks it records, the chunks it writes, and whether the
    /// job is over with it.
    pub jobs: Vec<BatchJob>,
}

/// One job of a batch.
#[derive(Debug)]
pub struct BatchJob {
    /// The job.
    pub id: JobId,
    /// Tasks recorded.
    pub tasks: Vec<u32>,
    /// Chunks written.
    pub chunks: BTreeSet<u32>,
    /// All its tasks are done.
    pub over: bool,
}

impl PartLedger {
    /// The next batch, conditioned on the part's stamp and on every key it
    /// changes.
    pub fn batch(&self, part_stamp: Stamp, config: &Config) -> Option<Batch> {
        let mut commit = Commit::default().when(part_key(self.part), part_stamp);
        let mut jobs = Vec::new();
        let mut bytes = 0;
        for id in &self.dirty_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let tasks: Vec<u32> = job
                .done
                .iter()
                .filter(|&i| !job.committed.contains(i))
                .collect();
            let over = job.spec.shape.completes() && job.done.len() >= job.spec.tasks;
            if tasks.is_empty() && !over && !job.touch {
                continue;
            }
            let mut chunks: BTreeSet<u32> = tasks.iter().map(|i| i / config.chunk).collect();
            if job.touch {
                chunks.insert(0);
            }
            let ops = if over {
                2 + job.chunk_stamps.len()
            } else {
                chunks.len()
            };
            let full = commit.changes.len() + ops > config.batch_ops || bytes > MAX_BYTES;
            if full && !jobs.is_empty() {
                break;
            }
            let key = job_key(id.part(config.parts), id);
            commit = commit.when(key.clone(), job.stamp);
            if over {
                commit = commit
                    .delete(key)
                    .when(over_key(id), Stamp(0))
                    .write(over_key(id), &over_record(job, JobStatus::Done));
                for (&chunk, &stamp) in &job.chunk_stamps {
                    let key = chunk_key(id.part(config.parts), id, chunk);
                    commit = commit.when(key.clone(), stamp).delete(key);
                }
            } else {
                for &chunk in &chunks {
                    let done = job.done.chunk_text(chunk, config.chunk);
                    bytes += done.len() + 700;
                    if chunk == 0 {
                        commit = commit.write(key.clone(), &job.record(done));
                    } else {
                        let key = chunk_key(id.part(config.parts), id, chunk);
                        let stamp = job.chunk_stamps.get(&chunk).copied().unwrap_or_default();
                        commit = commit
                            .when(key.clone(), stamp)
                            .write(key, &ChunkRecord { done });
                    }
                }
            }
            jobs.push(BatchJob {
                id: id.clone(),
                tasks,
                chunks,
                over,
            });
        }
        (!jobs.is_empty()).then_some(Batch { commit, jobs })
    }

    /// A batch was committed: its tasks may be cleared from now on.
    pub fn batch_applied(&mut self, batch: &Batch, stamp: Stamp) {
        for done in &batch.jobs {
            if done.over {
                self.drop_job(&done.id);
                continue;
            }
            let Some(job) = self.jobs.get_mut(&done.id) else {
                continue;
            };
            for &i in &done.tasks {
                job.committed.insert(i);
            }
            for &chunk in &done.chunks {
                if chunk == 0 {
                    if stamp > job.stamp {
                        job.settle_offer();
                    }
                    job.stamp = job.stamp.max(stamp);
                } else {
                    let slot = job.chunk_stamps.entry(chunk).or_default();
                    *slot = (*slot).max(stamp);
                }
            }
            if job.done.len() == job.committed.len() && job.done.len() < job.spec.tasks {
                self.dirty_jobs.remove(&done.id);
            }
        }
    }

    /// Anything is to be committed.
    pub fn has_batch(&self) -> bool {
        self.dirty_jobs.iter().any(|id| {
            self.jobs.get(id).is_some_and(|job| {
                job.touch
                    || job.done.len() > job.committed.len()
                    || (job.spec.shape.completes() && job.done.len() >= job.spec.tasks)
            })
        })
    }
}

/// The final record of a job.
pub fn over_record(job: &Job, status: JobStatus) -> OverRecord {
    OverRecord {
        status,
        done: job.done.len(),
        team: job.spec.team.clone(),
        slots: Room::of_task(&job.spec).slots(),
    }
}
