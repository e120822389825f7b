//! Workers: sending heartbeats, executing commands, and running tasks.

use super::*;

impl Simulation {
    pub(super) fn send_heartbeats(&mut self) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let sends = {
                let worker = &self.workers[&id];
                !worker.lost && worker.booted_at <= self.now
            };
            // Each step of 500 ms a worker sends a heartbeat with a probability of one half, which
            // is once per second on average.
            if !sends || self.rng.f64() < 0.5 {
                continue;
            }
            self.register(&id);
            self.send_heartbeat(&id);
        }
    }

    pub(super) fn send_heartbeat(&mut self, id: &MachineId) {
        self.advance_tasks(id);
        let Some((record, _)) = self.records.get(id).cloned() else {
            return;
        };
        let heartbeat = self.heartbeat(id, &record);
        let may_launch = self.rng.f64() < 0.95;
        let is_direct_reply = self.rng.f64() < 0.05;
        let state = self
            .shards
            .get_mut(&record.shard)
            .expect("recorded shard exists");
        let outcome = state.handle_heartbeat(&heartbeat, is_direct_reply, self.now, &self.config);
        self.hasher.add_number(match outcome {
            HeartbeatOutcome::Stale => 0,
            HeartbeatOutcome::Unknown => 1,
            HeartbeatOutcome::Superseded => 2,
            HeartbeatOutcome::Accepted => 3,
        });
        if outcome != HeartbeatOutcome::Accepted {
            return;
        }
        let commands = if is_direct_reply {
            let commands = state.direct_commands(id, self.now).into_iter();
            commands.map(Command::from).collect()
        } else {
            state.response_commands(id, may_launch, self.now, &self.config)
        };
        let fencing_token = state.machines[id].fencing_token(state.fencing_token);
        self.hasher.add_text(&id.0);
        self.hasher.add_bytes(&cbor::encode(&commands));
        let worker = self.workers.get_mut(id).expect("machine has a worker");
        if self.now < worker.inbound_partitioned_until {
            return;
        }
        worker.fencing_token = worker.fencing_token.max(fencing_token);
        for command in commands {
            self.execute(id, command);
        }
    }

    pub(super) fn heartbeat(&mut self, id: &MachineId, record: &MachineRecord) -> Heartbeat {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("machine has a worker");
        worker.seq += 1;
        let tasks = worker.tasks.iter().map(|t| TaskStatus {
            task: t.task.clone(),
            attempt: t.attempt,
            state: t.state,
            cause: t.cause,
            progress_saved: None,
        });
        Heartbeat {
            machine: id.clone(),
            endpoint: record.endpoint.clone(),
            flavor: record.flavor.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            incarnation: worker.incarnation,
            seq: worker.seq,
            fencing_token: worker.fencing_token,
            reclaim_in_s: worker
                .preemption_at
                .map(|at| Amount(at.since(now).as_secs_f64())),
            tasks: tasks.collect(),
        }
    }

    /// Advances each task of a machine whose next state is due. The machine is lost when its
    /// preemption is due.
    pub(super) fn advance_tasks(&mut self, id: &MachineId) {
        let (now, rng) = (self.now, &mut self.rng);
        let worker = self.workers.get_mut(id).expect("machine has a worker");
        for task in &mut worker.tasks {
            if now < task.next_state_at {
                continue;
            }
            match task.state {
                TaskState::Fetching | TaskState::Gathering => {
                    task.state = TaskState::Running;
                    let max_run_time_s = if worker.fails_tasks { 4.0 } else { 60.0 };
                    task.next_state_at =
                        now + Duration::from_secs_f64(1.0 + rng.f64() * max_run_time_s);
                }
                TaskState::Running => {
                    task.state = TaskState::Exited;
                    let is_failed = worker.fails_tasks || rng.f64() < 0.05;
                    task.cause = Some(if is_failed { Cause::Error } else { Cause::Done });
                }
                TaskState::Saving => {
                    task.state = TaskState::Exited;
                    task.cause = Some(Cause::Stopped);
                }
                TaskState::Exited => {}
            }
        }
        if worker.preemption_at.is_some_and(|at| now >= at) {
            worker.lost = true;
        }
    }

    pub(super) fn execute(&mut self, id: &MachineId, command: Command) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("machine has a worker");
        match command {
            Command::Launch { task, attempt } => {
                self.launch_count += 1;
                let runs_other_attempt = worker.tasks.iter().any(|t| t.task == task);
                worker.tasks.push(RunningTask {
                    task,
                    attempt,
                    state: if runs_other_attempt {
                        TaskState::Exited
                    } else {
                        TaskState::Fetching
                    },
                    cause: runs_other_attempt.then_some(Cause::Busy),
                    next_state_at: now + Duration::from_secs(3),
                });
            }
            Command::Stop {
                task,
                attempt,
                leeway_s,
            } => {
                for running in worker.tasks.iter_mut() {
                    let is_same_attempt = running.task == task && running.attempt == attempt;
                    if is_same_attempt && running.state != TaskState::Exited {
                        running.state = TaskState::Saving;
                        running.next_state_at = now + Duration::from_secs_f64(leeway_s.min(2.0));
                    }
                }
            }
            Command::Clear { task, attempt } => {
                worker
                    .tasks
                    .retain(|t| t.task != task || t.attempt != attempt);
            }
        }
    }
}
