//! Jobs: submission, job batches, done batches and removal.

use super::*;

impl Simulation {
    pub(super) fn random_spec(&mut self) -> JobSpec {
        self.job_count += 1;
        let rng = &mut self.rng;
        let id =
            JobId::parse(&format!("j-{:06}", self.job_count)).expect("job number forms a valid id");
        let tasks = [1, 2, 3, 8, 20, 90][rng.usize(0..6)];
        let mut spec = samples::spec(id, tasks);
        spec.shape = [Shape::Array, Shape::Array, Shape::Gang, Shape::Service][rng.usize(0..4)];
        if spec.shape != Shape::Array {
            spec.tasks = spec.tasks.min(5);
        }
        spec.rank = [Rank::Idle, Rank::Standard, Rank::Urgent, Rank::Production][rng.usize(0..4)];
        spec.team = ["red", "blue", "green"][rng.usize(0..3)].into();
        spec.class = ["short", "long"][rng.usize(0..2)].into();
        spec.cpus = Amount([0.5, 2.0, 4.0, 12.0][rng.usize(0..4)]);
        spec.gpus = Amount([0.0, 0.0, 1.0, 2.0][rng.usize(0..4)]);
        spec.memory_gb = Amount([1.0, 8.0, 30.0][rng.usize(0..3)]);
        spec.image = format!("img-{}", rng.u32(0..IMAGES));
        spec.image_gb = Amount([0.0, 2.0, 7.0][rng.usize(0..3)]);
        spec.types = [
            None,
            None,
            Some(vec!["c16".into()]),
            Some(vec!["g4".into(), "m8".into()]),
        ][rng.usize(0..4)]
        .clone();
        spec.zone = (rng.f64() < 0.1).then(|| "b".into());
        spec.one_zone = rng.f64() < 0.15;
        spec.spread = !spec.one_zone && rng.f64() < 0.25;
        spec.spot = rng.f64() < 0.7;
        spec.estimate_s = Amount([5.0, 30.0, 100.0][rng.usize(0..3)]);
        spec.checkpoint_s = Amount([0.0, 10.0][rng.usize(0..2)]);
        spec.save_s = Amount([0.0, 3.0][rng.usize(0..2)]);
        spec
    }

    pub(super) fn submit(&mut self) {
        let spec = self.random_spec();
        let rejection = self.config.unschedulable_reason(&spec);
        self.hasher.add_flag(rejection.is_some());
        if rejection.is_some() {
            return;
        }
        let shard = shard_selection::select_shard(
            &self.config,
            &spec,
            &self.digests,
            &self.records,
            &self.sent_work,
        );
        *self.sent_work.entry(shard).or_default() +=
            shard_selection::size_in_machines(&self.config, &spec);
        let mut record = JobRecord {
            spec,
            accepted_at_ms: self.now.0,
            shard,
            transferred: Vec::new(),
            done: String::new(),
        };
        shard_selection::transfer_spread_tasks(
            &self.config,
            &mut record,
            &self.digests,
            &self.records,
            &self.sent_work,
        );
        self.hasher.add_bytes(&cbor::encode(&record));
        let revision = self.next_revision();
        let id = record.spec.id.clone();
        let in_job_batch = self.rng.f64() < 0.3;
        if in_job_batch {
            self.job_batch_count += 1;
            let job_batch = JobBatchRecord {
                jobs: vec![record.clone()],
                unreadable: Vec::new(),
            };
            self.job_batches
                .put(self.job_batch_count, Some(job_batch), revision);
            self.batched_jobs.insert(id.clone());
        }
        for state in self.shards.values_mut() {
            if in_job_batch {
                state.put_batched_job(&record, revision, false, self.now, &self.config);
            } else {
                state.put_job(&record, revision, false, self.now, &self.config);
            }
        }
        self.jobs.insert(id, (record, revision));
    }

    /// Removes a job that is done or cancelled.
    pub(super) fn end_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
        if self.batched_jobs.remove(id) {
            self.remove_from_job_batch(id);
        }
        for state in self.shards.values_mut() {
            state.remove_job(id);
        }
    }

    pub(super) fn remove_from_job_batch(&mut self, id: &JobId) {
        if let Some(number) = self.job_batches.find(id) {
            let revision = self.next_revision();
            self.job_batches.put(number, None, revision);
        }
    }

    /// Commits the done batches of all shards, until none is left.
    pub(super) fn commit_done_batches(&mut self) {
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            loop {
                let state = &self.shards[&shard];
                let is_due = state.next_batch_is_urgent(self.now, &self.config);
                self.hasher.add_number(is_due.map_or(2, u64::from));
                let batch =
                    state.next_batch(Revision(3), &self.job_batches, self.now, &self.config);
                let Some(batch) = batch else { break };
                self.hasher.add_bytes(&cbor::encode(&batch.transaction));
                let revision = self.next_revision();
                for (number, job_batch) in &batch.job_batches {
                    self.job_batches.put(*number, job_batch.clone(), revision);
                }
                let state = self.shards.get_mut(&shard).expect("listed shard exists");
                state.mark_batch_committed(&batch, revision);
                for job in &batch.jobs {
                    self.batched_jobs.remove(&job.id);
                    if job.final_record.is_some() {
                        self.end_job(&job.id);
                    }
                }
                self.apply_writes(&batch.transaction.writes, revision);
            }
        }
    }

    /// Delivers the job and chunk records that a batch wrote to all shards.
    pub(super) fn apply_writes(&mut self, writes: &[Write], revision: Revision) {
        for write in writes {
            let Write::Put { key, value, .. } = write else {
                continue;
            };
            match Key::parse(key) {
                Some(Key::Job(_, id, 0)) if self.jobs.contains_key(&id) => {
                    let record: JobRecord =
                        cbor::from_value(value).expect("written value is a job record");
                    for state in self.shards.values_mut() {
                        state.put_job(&record, revision, false, self.now, &self.config);
                    }
                    self.jobs.insert(id, (record, revision));
                }
                Some(Key::Job(_, id, chunk)) => {
                    let record: ChunkRecord =
                        cbor::from_value(value).expect("written value is a chunk record");
                    for state in self.shards.values_mut() {
                        state.put_chunk(&id, chunk, &record, revision, &self.config);
                    }
                }
                _ => {}
            }
        }
    }
}
