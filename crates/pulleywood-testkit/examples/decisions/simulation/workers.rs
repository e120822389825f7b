//! Workers: heartbeats, and what they execute.

use super::*;

impl Simulation {
    pub(super) fn workers_report(&mut self) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let up = {
                let worker = &self.workers[&id];
                !worker.dead && worker.up_at <= self.now
            };
            // Reports come each second, a few of them late.
            if !up || self.rng.f64() < 0.5 {
                continue;
            }
            self.register(&id);
            self.send_heartbeat(&id);
        }
    }

    pub(super) fn send_heartbeat(&mut self, id: &MachineId) {
        self.pass_time(id);
        let Some((record, _)) = self.records.get(id).cloned() else {
            return;
        };
        let heartbeat = self.heartbeat(id, &record);
        let launch = self.rng.f64() < 0.95;
        let reply = self.rng.f64() < 0.05;
        let state = self.shards.get_mut(&record.shard).expect("a shard");
        let taken = state.handle_heartbeat(&heartbeat, reply, self.now, &self.config);
        self.digest.number(match taken {
            HeartbeatOutcome::Stale => 0,
            HeartbeatOutcome::Unknown => 1,
            HeartbeatOutcome::Superseded => 2,
            HeartbeatOutcome::Accepted => 3,
        });
        if taken != HeartbeatOutcome::Accepted {
            return;
        }
        let commands = if reply {
            state.direct_commands(id)
        } else {
            state.response_commands(id, launch, self.now, &self.config)
        };
        let fencing_token = state.machines[id].fencing_token(state.fencing_token);
        self.digest.text(&id.0);
        self.digest.bytes(&cbor::encode(&commands));
        let worker = self.workers.get_mut(id).expect("a worker");
        if self.now < worker.deaf_until {
            return;
        }
        worker.fencing_token = worker.fencing_token.max(fencing_token);
        for command in commands {
            self.execute(id, command);
        }
    }

    pub(super) fn heartbeat(&mut self, id: &MachineId, record: &MachineRecord) -> Heartbeat {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("a worker");
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
            reclaim_in_s: worker.notice.map(|at| Amount(at.since(now).as_secs_f64())),
            tasks: tasks.collect(),
        }
    }

    /// Tasks of a machine come to their next state.
    pub(super) fn pass_time(&mut self, id: &MachineId) {
        let (now, rng) = (self.now, &mut self.rng);
        let worker = self.workers.get_mut(id).expect("a worker");
        for task in &mut worker.tasks {
            if now < task.until {
                continue;
            }
            match task.state {
                TaskState::Fetching | TaskState::Gathering => {
                    task.state = TaskState::Running;
                    let longest = if worker.failing { 4.0 } else { 60.0 };
                    task.until = now + Duration::from_secs_f64(1.0 + rng.f64() * longest);
                }
                TaskState::Running => {
                    task.state = TaskState::Exited;
                    let fails = worker.failing || rng.f64() < 0.05;
                    task.cause = Some(if fails { Cause::Error } else { Cause::Done });
                }
                TaskState::Saving => {
                    task.state = TaskState::Exited;
                    task.cause = Some(Cause::Stopped);
                }
                TaskState::Exited => {}
            }
        }
        if worker.notice.is_some_and(|at| now >= at) {
            worker.dead = true;
        }
    }

    pub(super) fn execute(&mut self, id: &MachineId, command: Command) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("a worker");
        match command {
            Command::Launch { task, attempt } => {
                self.launches += 1;
                let busy = worker.tasks.iter().any(|t| t.task == task);
                worker.tasks.push(Running {
                    task,
                    attempt,
                    state: if busy {
                        TaskState::Exited
                    } else {
                        TaskState::Fetching
                    },
                    cause: busy.then_some(Cause::Busy),
                    until: now + Duration::from_secs(3),
                });
            }
            Command::Stop {
                task,
                attempt,
                leeway_s,
            } => {
                for running in worker.tasks.iter_mut() {
                    let same = running.task == task && running.attempt == attempt;
                    if same && running.state != TaskState::Exited {
                        running.state = TaskState::Saving;
                        running.until = now + Duration::from_secs_f64(leeway_s.min(2.0));
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
