//! What one controller knows, behind one short lock.

use crate::adopt::Adoptions;
use crate::clock::Clock;
use crate::desk::Pending;
use crate::follow::Reads;
use crate::intake::Intake;
use parking_lot::{Condvar, Mutex};
use pulleywood_core::ledger::Job;
use pulleywood_core::types::{self, Choices};
use pulleywood_core::{Config, PartLedger, home};
use pulleywood_net::peer::PeerClient;
use pulleywood_net::{CloudClient, Pace, StateClient};
use pulleywood_recovery::RecoveryPolicy;
use pulleywood_recovery::counter::Shown;
use pulleywood_wire::pack::{PackHead, PackRecord, Packs};
use pulleywood_wire::peer::{Digest, PartDigest};
use pulleywood_wire::rack::{RackRecord, Racked, Racks};
use pulleywood_wire::record::{
    ChunkRecord, FinalRecord, GrantRecord, Holder, JobRecord, Key, Layout, MachineRecord, TaskSet,
    TermRecord,
};
use pulleywood_wire::settings::Settings;
use pulleywood_wire::state::Event;
use pulleywood_wire::time::{secs, surely_within};
use pulleywood_wire::{
    JobId, JobSpec, MachineId, MemberId, Moment, PartId, Permit, Stamp, Term, cbor,
};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Everything the threads of one controller share.
pub struct Shared {
    /// The platform's settings.
    pub settings: Settings,
    /// This controller.
    pub me: MemberId,
    /// This process.
    pub boot: u64,
    /// Its clock.
    pub clock: Clock,
    /// The state service.
    pub state: StateClient,
    /// The cloud.
    pub cloud: CloudClient,
    /// The other controllers.
    pub peers: BTreeMap<MemberId, PeerClient>,
    /// What it knows. Never held across I/O.
    pub node: Mutex<Node>,
    /// Rung when the owner's threads have something to do.
    pub bell: Condvar,
    /// Submissions that wait to be accepted together.
    pub intake: Intake,
    /// Machines that wait to be adopted together.
    pub adoptions: Adoptions,
    /// Jobs whose owners are to hear that they are being cancelled.
    pub cancelling: Pending<JobId>,
    /// Users' questions that wait for a read.
    pub reads: Reads,
    /// Numbers digests.
    pub digests_sent: AtomicU64,
    /// How often the state service is asked what changed.
    pub pace: Pace,
    /// When a submission was last refused for want of tokens.
    pub refused: AtomicU64,
    /// The recovery subsystem's levers, if it is switched on.
    pub recovery: Option<RecoveryPolicy>,
    /// Final states told or read, kept for later polls.
    pub finals: Mutex<Finals>,
}

/// A bounded memory of final states, which never change.
#[derive(Default)]
pub struct Finals {
    known: HashMap<JobId, FinalRecord>,
    order: VecDeque<JobId>,
}

/// Former processes remembered, so that late copies of their digests are known.
const FORMER: usize = 64;
/// Nothing is launched on an older view.
const LAUNCH_VIEW: Duration = Duration::from_secs(3);
/// Digests of the parts held here are good for this long.
const OWN_DIGESTS: Duration = Duration::from_millis(300);
const MAX_FINALS: usize = 5000;

impl Finals {
    /// Remembers one.
    pub fn put(&mut self, id: &JobId, over: FinalRecord) {
        if self.known.insert(id.clone(), over).is_none() {
            self.order.push_back(id.clone());
        }
        if self.order.len() > MAX_FINALS
            && let Some(old) = self.order.pop_front()
        {
            self.known.remove(&old);
        }
    }

    /// Looks one up.
    pub fn get(&self, id: &JobId) -> Option<FinalRecord> {
        self.known.get(id).cloned()
    }
}

/// The lease that all keys held by this controller are attached to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Lease {
    /// Its number, once taken.
    pub permit: Option<Permit>,
    /// When the last successful renewal was sent.
    pub renewed: Moment,
}

/// A copy of the watched keys, as new as the last watch.
#[derive(Debug, Default)]
pub struct View {
    /// Revision up to which it is complete.
    pub ledger: u64,
    /// How many parts.
    pub layout: Option<Layout>,
    /// The term counter.
    pub term: (Term, Stamp),
    /// The coordinator.
    pub role: Option<(Holder, Stamp)>,
    /// Parts' holders.
    pub parts: BTreeMap<PartId, (Holder, Stamp)>,
    /// Since when a part has had no holder here.
    pub free_since: BTreeMap<PartId, Moment>,
    /// Parts' grants.
    pub grants: BTreeMap<PartId, (GrantRecord, Stamp)>,
    /// All machines.
    pub machines: BTreeMap<MachineId, (MachineRecord, Stamp)>,
    /// All live jobs, with how many of their tasks are recorded as done.
    pub jobs: BTreeMap<JobId, u32>,
    /// Machines whose records cannot be read: nobody commands them.
    pub unreadable_machines: BTreeSet<MachineId>,
    /// Packs of jobs.
    pub packs: Packs,
    /// Racks of machines.
    pub racks: Racks,
    /// Number of the newest rack, and the stamp of the racks' head.
    pub rack_head: (PackHead, Stamp),
    /// Number of the newest pack, and the stamp of the packs' head.
    pub head: (PackHead, Stamp),
    /// Jobs that left their packs by changes not yet all taken: they have a
    /// record of their own, or are over.
    left: Vec<(JobId, Stamp)>,
    /// Live jobs that have a record of their own.
    own: BTreeSet<JobId>,
}

/// A part this controller holds.
pub struct Owned {
    /// What it knows of it.
    pub ledger: PartLedger,
    /// Stamp of the part's key.
    pub stamp: Stamp,
    /// Read in full; until then events are kept back.
    pub loaded: bool,
    /// Changes of jobs that came while it was being read.
    pub held: Vec<(JobId, JobEntry, Stamp)>,
    /// Being handed to another controller: nothing is launched.
    pub leaving: bool,
    /// When this process took it over.
    pub taken: Moment,
    /// Stamp of the record that says that all machines that came with it are
    /// accounted for.
    pub settled: Option<Stamp>,
    /// The holder before, while it may still answer workers.
    pub before: Option<Holder>,
}

/// What one controller knows.
pub struct Node {
    /// Settings of the decisions.
    pub config: Arc<Config>,
    /// The watched keys.
    pub view: View,
    /// The view was read once.
    pub viewed: bool,
    /// The lease.
    pub lease: Lease,
    /// The view is surely as new as this moment.
    pub caught_up: Moment,
    /// Parts held.
    pub owned: BTreeMap<PartId, Owned>,
    /// Others' digests and when they came.
    pub digests: BTreeMap<MemberId, (Digest, Moment)>,
    /// Parts were given up for want of workers that reach this controller: none
    /// is taken until then, and how often that has happened in a row.
    pub unreached: (Moment, u32),
    /// Jobs that transactions of this controller changed or ended which the watch
    /// is yet to bring. An older change that comes before tells its parts
    /// nothing: it revived jobs that had ended, and tasks that had just been lent
    /// to another part, which then ran in both.
    pub own_writes: BTreeMap<JobId, Stamp>,
    /// Terms above their shard's that machines of shards held here showed.
    pub shown_terms: BTreeMap<MachineId, Shown>,
    /// What machine types work had to choose from lately, over all parts.
    choices: Choices,
    /// Processes of other controllers that were followed by newer ones.
    pub former: VecDeque<u64>,
    /// Digests of the parts held here, and when they were made.
    own_digests: (Moment, Vec<Arc<PartDigest>>),
    /// Jobs accepted here lately: when, for which part, how large.
    pub sent: Vec<(Moment, PartId, f64)>,
}

impl Shared {
    /// Length of the lease.
    pub fn ttl(&self, node: &Node) -> Duration {
        secs(node.config.policy.part_lease_s)
    }

    /// A submission was refused lately for want of tokens.
    pub fn refusing(&self, now: Moment) -> bool {
        let at = Moment(self.refused.load(Ordering::Relaxed));
        at > Moment(0) && now.since(at) < Duration::from_secs(5)
    }

    /// The digest this controller sends.
    pub fn digest(&self) -> Digest {
        let now = self.clock.now();
        let state_ok = self.state.answers();
        let mut node = self.node.lock();
        Digest {
            member: self.me.clone(),
            boot: self.boot,
            seq: self.digests_sent.fetch_add(1, Ordering::Relaxed) + 1,
            state_ok,
            fit: node.viewed && node.lease.permit.is_some() && state_ok && now >= node.unreached.0,
            refusing: self.refusing(now),
            serving: node.serving(now),
            parts: node.part_digests(now),
        }
    }
}

impl Node {
    /// An empty one.
    pub fn new(config: Config) -> Self {
        Self {
            config: Arc::new(config),
            view: View::default(),
            viewed: false,
            lease: Lease::default(),
            caught_up: Moment::default(),
            owned: BTreeMap::new(),
            digests: BTreeMap::new(),
            unreached: (Moment(0), 0),
            own_writes: BTreeMap::new(),
            shown_terms: BTreeMap::new(),
            choices: Choices::default(),
            former: VecDeque::new(),
            own_digests: Default::default(),
            sent: Vec::new(),
        }
    }

    /// The local end of the lease: counted from before the renewal was sent,
    /// less drift and margin, so that it lies before the store's.
    pub fn lease_end(&self) -> Moment {
        match self.lease.permit {
            Some(_) => self.lease.renewed + surely_within(secs(self.config.policy.part_lease_s)),
            None => Moment::default(),
        }
    }

    /// Launches, writes and grants are allowed.
    pub fn may_act(&self, now: Moment) -> bool {
        now < self.lease_end() && self.may_answer(now)
    }

    /// Work may be launched: the view is newer than a watch that brought nothing
    /// makes it. One that is older, as when the state service refuses this
    /// controller alone, may lack cancellations that users were told of.
    pub fn may_launch(&self, now: Moment) -> bool {
        self.may_act(now) && now.since(self.caught_up) < LAUNCH_VIEW
    }

    /// Workers may be answered: a cancellation told elsewhere since the last
    /// contact is still obeyed in time, as they lapse within their lease.
    pub fn may_answer(&self, now: Moment) -> bool {
        let contact = self.lease.renewed.min(self.caught_up);
        self.viewed && now < contact + self.config.answer_span()
    }

    /// Parts that workers are answered for, with their terms.
    pub fn serving(&self, now: Moment) -> Vec<(PartId, Term)> {
        if !self.may_answer(now) {
            return Vec::new();
        }
        let owned = self.owned.iter();
        owned.map(|(p, o)| (*p, o.ledger.term)).collect()
    }

    /// No worker reaches this controller: it holds no part for a while, longer
    /// each time in a row.
    pub fn give_up_parts(&mut self, now: Moment) {
        let (until, times) = self.unreached;
        let in_a_row = now.since(until) < Duration::from_secs(120);
        let times = if in_a_row { times + 1 } else { 0 };
        let wait = self.config.lease * (4 << times.min(3));
        self.unreached = (now + wait, times);
    }

    /// Digests of the parts held here, made anew a few times a second: every
    /// peer is told them and every submission looks at them, and each looks at
    /// every machine of the part.
    pub fn part_digests(&mut self, now: Moment) -> Vec<Arc<PartDigest>> {
        let (made, digests) = &self.own_digests;
        let held = self.owned.iter().filter(|(_, o)| o.loaded).map(|(p, _)| *p);
        if now.since(*made) < OWN_DIGESTS && held.eq(digests.iter().map(|d| d.part)) {
            return digests.clone();
        }
        self.share_choices(now);
        let loaded = self.owned.values().filter(|o| o.loaded);
        let made = loaded.map(|o| Arc::new(o.ledger.digest(now, &self.config)));
        self.own_digests = (now, made.collect());
        self.own_digests.1.clone()
    }

    /// Tells each part's ledger what machine types waiting work may use, here and
    /// in other parts.
    fn share_choices(&mut self, now: Moment) {
        if self.config.flavors.len() < 2 {
            return;
        }
        let config = &self.config;
        let fresh = self.digests.values();
        let fresh = fresh.filter(|(_, at)| now.since(*at) < Duration::from_secs(4));
        for demand in fresh.flat_map(|(d, _)| &d.parts).flat_map(|p| &p.demand) {
            self.choices.note(types::of_demand(config, demand), now);
        }
        for owned in self.owned.values() {
            let jobs = owned.ledger.jobs.values();
            for job in jobs.filter(|j| !j.waiting.is_empty()) {
                self.choices.note(types::of_job(config, &job.spec), now);
            }
        }
        self.choices.forget(now);
        for owned in self.owned.values_mut() {
            owned.ledger.choices.clone_from(&self.choices);
        }
    }

    /// All fresh digests of owned parts, this controller's included.
    pub fn all_parts(&mut self, now: Moment) -> BTreeMap<PartId, Arc<PartDigest>> {
        let mut all: BTreeMap<PartId, Arc<PartDigest>> = self
            .digests
            .values()
            .filter(|(_, at)| now.since(*at) < Duration::from_secs(4))
            .flat_map(|(d, _)| d.parts.iter().cloned())
            .map(|p| (p.part, p))
            .collect();
        all.extend(self.part_digests(now).into_iter().map(|p| (p.part, p)));
        all
    }

    /// A machine of a shard held here showed a term above the shard's.
    pub fn note_term(&mut self, machine: &MachineId, term: Term, now: Moment) {
        let shown = Shown { term, at: now };
        self.shown_terms.insert(machine.clone(), shown);
    }

    /// Another controller's digest came.
    pub fn take_digest(&mut self, digest: Digest, now: Moment) {
        // The network may have held it back, or bring a copy of it again.
        let former = self.former.iter().any(|boot| *boot == digest.boot);
        match self.digests.get(&digest.member) {
            _ if former => return,
            Some((known, _)) if known.boot == digest.boot && known.seq >= digest.seq => return,
            Some((known, _)) if known.boot != digest.boot => {
                self.former.push_back(known.boot);
                self.former.truncate(FORMER);
            }
            _ => {}
        }
        // Another holds a part under a newer term: this controller lost it
        // without hearing so. The sooner it stops answering that part's
        // workers, the sooner the new owner may place their tasks.
        self.owned.retain(|part, owned| {
            let lost = |(p, term): &(PartId, Term)| p == part && *term > owned.ledger.term;
            !digest.serving.iter().any(lost)
        });
        self.digests.insert(digest.member.clone(), (digest, now));
        self.share_usage();
    }

    /// A peer said what it serves, when asked at `sent` or later. The old owner
    /// of a part that no longer answers workers under the old term, or whose
    /// process has ended, has answered none since: they lapse a lease from now.
    /// Its digests do not show that: one from before it held the part says the
    /// same, and may come late.
    pub fn confirm(
        &mut self,
        peer: &MemberId,
        sent: Moment,
        now: Moment,
        serving: &[(PartId, Term)],
    ) {
        let lapsed = self.config.surely_lapsed();
        for (part, owned) in &mut self.owned {
            if let Some(before) = &owned.before
                && before.member == *peer
                && sent > owned.taken
                && !serving.contains(&(*part, before.term))
            {
                let until = now + lapsed;
                owned.ledger.silent_until = owned.ledger.silent_until.min(until);
                owned.before = None;
            }
        }
    }

    /// Tells each part's ledger what other parts use.
    fn share_usage(&mut self) {
        let mut elsewhere: BTreeMap<String, pulleywood_wire::record::Slots> = BTreeMap::new();
        for (digest, _) in self.digests.values() {
            for part in digest
                .parts
                .iter()
                .filter(|p| !self.owned.contains_key(&p.part))
            {
                for (team, slots) in &part.used {
                    pulleywood_core::room::add(elsewhere.entry(team.clone()).or_default(), *slots);
                }
            }
        }
        for owned in self.owned.values_mut() {
            owned.ledger.elsewhere.clone_from(&elsewhere);
        }
    }

    /// Applies one watched change.
    pub fn event(&mut self, event: Event, now: Moment) {
        let (path, written) = match (&event.write, &event.delete) {
            (Some(path), _) => (path.clone(), true),
            (None, Some(path)) => (path.clone(), false),
            _ => return,
        };
        let Some(key) = Key::parse(&path) else { return };
        let stamp = event.stamp;
        let value = event.value.as_ref().filter(|_| written);
        match key {
            Key::Layout => {
                self.view.layout = read(value, &path);
                let parts = self.view.layout.map_or(0, |l: Layout| l.parts);
                Arc::make_mut(&mut self.config).parts = parts;
            }
            Key::Term => {
                if let Some(record) = read::<TermRecord>(value, &path)
                    && stamp > self.view.term.1
                {
                    self.view.term = (record.last, stamp);
                }
            }
            Key::Role => self.view.role = read(value, &path).map(|h| (h, stamp)),
            Key::Part(p) => match read::<Holder>(value, &path) {
                Some(holder) => {
                    self.lost_since(p, stamp);
                    self.view.free_since.remove(&p);
                    self.view.parts.insert(p, (holder, stamp));
                }
                None => {
                    self.lost_since(p, stamp);
                    self.view.parts.remove(&p);
                    self.view.free_since.entry(p).or_insert(now);
                }
            },
            // Read when a part is taken.
            Key::Last(_) => {}
            Key::Grant(p) => {
                if let Some(record) = read::<GrantRecord>(value, &path) {
                    self.put_grant(p, record, stamp);
                }
            }
            // This controller may know of a newer one, by its own rack.
            Key::Racks if stamp <= self.view.rack_head.1 => {}
            Key::Racks => self.view.rack_head = (read(value, &path).unwrap_or_default(), stamp),
            Key::Rack(n) => match value {
                None => self.put_rack(n, None, stamp, now),
                Some(value) => {
                    if let Some(record) = read_rack(value, &path) {
                        self.put_rack(n, Some(record), stamp, now);
                    }
                }
            },
            Key::Job(_, id, chunk) => {
                let config = Arc::clone(&self.config);
                let entry: Option<JobEntry> = match (value, chunk) {
                    (None, 0) => Some(JobEntry::Gone),
                    (None, _) => None,
                    (Some(_), 0) => read(value, &path).map(|r| JobEntry::Record(Box::new(r))),
                    (Some(_), n) => read(value, &path).map(|r| JobEntry::Chunk(n, r)),
                };
                let unreadable = entry.is_none() && value.is_some() && chunk == 0;
                let entry = match unreadable {
                    true => Some(JobEntry::Unreadable),
                    false => entry,
                };
                let Some(entry) = entry else { return };
                if self.wrote_since(&id, stamp) {
                    self.tell_parts(&id, &entry, stamp, now);
                    return;
                }
                match &entry {
                    JobEntry::Gone => {
                        self.view.jobs.remove(&id);
                        self.view.own.remove(&id);
                    }
                    JobEntry::Packed(_) => {}
                    JobEntry::Unreadable => {
                        self.view.own.insert(id.clone());
                        self.view.jobs.entry(id.clone()).or_insert(0);
                    }
                    JobEntry::Record(record) => {
                        self.view.own.insert(id.clone());
                        let mut done = TaskSet::new();
                        done.add_chunk(&record.done, 0, config.chunk, record.spec.tasks);
                        self.view.jobs.insert(id.clone(), done.len());
                    }
                    JobEntry::Chunk(..) => {}
                }
                self.tell_parts(&id, &entry, stamp, now);
            }
            // This controller may know of a newer one, by its own pack.
            Key::Head if stamp <= self.view.head.1 => {}
            Key::Head => self.view.head = (read(value, &path).unwrap_or_default(), stamp),
            Key::Pack(n) => {
                let record: Option<PackRecord> = match value {
                    None => None,
                    Some(value) => match read_pack(value, &path) {
                        Some(record) => Some(record),
                        None => return,
                    },
                };
                self.put_pack(n, record, stamp, now);
            }
        }
    }

    /// A transaction of this controller changed the job at this revision or later.
    pub fn wrote_since(&self, id: &JobId, stamp: Stamp) -> bool {
        self.own_writes.get(id).is_some_and(|at| *at >= stamp)
    }

    fn tell_parts(&mut self, id: &JobId, entry: &JobEntry, stamp: Stamp, now: Moment) {
        let config = Arc::clone(&self.config);
        // Parts that are still being read were not told of own transactions.
        let known = self.wrote_since(id, stamp);
        for owned in self.owned.values_mut() {
            if owned.loaded && known {
                continue;
            }
            if owned.loaded {
                owned.job_event(id, entry, stamp, false, now, &config);
            } else {
                owned.held.push((id.clone(), entry.clone(), stamp));
            }
        }
    }

    /// A pack as stored, or its end.
    fn put_pack(&mut self, n: u64, record: Option<PackRecord>, stamp: Stamp, now: Moment) {
        let unreadable: Vec<JobId> = record.iter().flat_map(|r| r.unreadable_ids()).collect();
        for id in unreadable {
            self.view.jobs.entry(id.clone()).or_insert(0);
            self.tell_parts(&id, &JobEntry::Unreadable, stamp, now);
        }
        let (new, left) = self.view.packs.put(n, record, stamp);
        for record in new {
            let id = record.spec.id.clone();
            if !self.wrote_since(&id, stamp) {
                self.view.jobs.entry(id.clone()).or_insert(0);
            }
            self.tell_parts(&id, &JobEntry::Packed(Box::new(record)), stamp, now);
        }
        self.view
            .left
            .extend(left.into_iter().map(|id| (id, stamp)));
    }

    /// All changes of some revisions have been taken: a job that left its pack
    /// and has no record of its own is over. Its record may come before or
    /// after the pack's change, though both are of one transaction.
    pub fn settle_packs(&mut self, now: Moment) {
        for (id, stamp) in std::mem::take(&mut self.view.left) {
            if self.view.own.contains(&id) || self.view.packs.find(&id).is_some() {
                continue;
            }
            self.view.jobs.remove(&id);
            self.tell_parts(&id, &JobEntry::Gone, stamp, now);
        }
    }

    /// A part's key changed after it was taken here: it is no longer held.
    fn lost_since(&mut self, part: PartId, stamp: Stamp) {
        self.owned
            .retain(|p, owned| *p != part || owned.stamp >= stamp);
    }

    /// The watch has brought every change up to this revision, and perhaps newer
    /// ones of the same keys. What the answer to a transaction of this
    /// controller says is then known already, or out of date: taken all the
    /// same, it brought back jobs that had been cancelled since.
    pub fn passed(&self, stamp: Stamp) -> bool {
        self.view.ledger >= stamp.0
    }

    /// A transaction of this controller ended a job.
    pub fn end_job(&mut self, id: &JobId, stamp: Stamp) {
        self.own_writes.insert(id.clone(), stamp);
        self.view.jobs.remove(id);
        self.view.own.remove(id);
        for owned in self.owned.values_mut() {
            owned.ledger.drop_job(id);
        }
    }

    /// A transaction of this controller took jobs out of packs.
    pub fn left_packs(&mut self, packs: Vec<(u64, Option<PackRecord>)>, stamp: Stamp, now: Moment) {
        if self.passed(stamp) {
            return;
        }
        for (n, record) in packs {
            self.put_pack(n, record, stamp, now);
        }
        self.settle_packs(now);
    }

    /// A transaction of this controller gave a job a record of its own.
    pub fn own_record(&mut self, id: &JobId, stamp: Stamp) {
        if !self.passed(stamp) {
            self.view.own.insert(id.clone());
        }
    }

    /// A transaction of this controller wrote a pack, and the packs' head.
    pub fn wrote_pack(&mut self, head: PackHead, pack: PackRecord, stamp: Stamp, now: Moment) {
        // Another may have written the next one meanwhile: an older head would
        // stay, as the watch has brought the newer one, and every submission
        // that rests on it would be refused.
        if !self.passed(stamp) {
            self.view.head = (head, stamp);
            self.put_pack(head.last, Some(pack), stamp, now);
        }
    }

    /// A transaction of this controller wrote a rack, and the racks' head.
    pub fn wrote_rack(&mut self, head: PackHead, rack: Racked, stamp: Stamp, now: Moment) {
        if !self.passed(stamp) {
            self.view.rack_head = (head, stamp);
            self.put_racks(vec![rack], stamp, now);
        }
    }

    /// The view is complete up to this revision.
    pub fn complete(&mut self, ledger: u64, now: Moment) {
        self.settle_packs(now);
        self.view.ledger = self.view.ledger.max(ledger);
        let upto = self.view.ledger;
        self.view.packs.forget(upto);
        self.view.racks.forget(upto);
        self.own_writes.retain(|_, at| at.0 > upto);
    }

    /// A part's grants as stored.
    pub fn put_grant(&mut self, p: PartId, record: GrantRecord, stamp: Stamp) {
        if self.view.grants.get(&p).is_some_and(|(_, s)| *s >= stamp) {
            return;
        }
        if let Some(owned) = self.owned.get_mut(&p) {
            owned.ledger.grants = record.clone();
            owned.ledger.disturb();
        }
        self.view.grants.insert(p, (record, stamp));
    }

    /// A rack as stored, or its end.
    fn put_rack(&mut self, n: u64, record: Option<RackRecord>, stamp: Stamp, now: Moment) {
        let Some(changed) = self.view.racks.put(n, record, stamp) else {
            return;
        };
        for (id, record) in changed.held {
            self.view.unreadable_machines.remove(&id);
            self.put_machine(&id, record, stamp, now);
        }
        if let Some((rack, _)) = self.view.racks.get(n) {
            let unreadable = rack.unreadable.keys().cloned();
            self.view.unreadable_machines.extend(unreadable);
        }
        for id in changed.gone {
            self.view.unreadable_machines.remove(&id);
            self.view.machines.remove(&id);
            for owned in self.owned.values_mut() {
                owned.ledger.drop_machine(&id);
            }
        }
    }

    /// A transaction of this controller changed racks.
    pub fn put_racks(&mut self, racks: Vec<Racked>, stamp: Stamp, now: Moment) {
        if self.passed(stamp) {
            return;
        }
        for (n, record) in racks {
            self.put_rack(n, record, stamp, now);
        }
    }

    /// A machine's record as stored.
    fn put_machine(&mut self, id: &MachineId, record: MachineRecord, stamp: Stamp, now: Moment) {
        if self.view.machines.get(id).is_some_and(|(_, s)| *s >= stamp) {
            return;
        }
        for (part, owned) in &mut self.owned {
            if *part == record.part {
                owned
                    .ledger
                    .put_machine(id, record.clone(), stamp, false, now);
            } else if owned
                .ledger
                .machines
                .get(id)
                .is_some_and(|m| m.stamp < stamp)
            {
                // Only this owner's own transaction moves it away, while idle. A
                // part that was just read may know a newer record than the watch:
                // dropped for an older one, the machine would come back as one
                // that holds nothing of the earlier owner's.
                owned.ledger.drop_machine(id);
            }
        }
        self.view.machines.insert(id.clone(), (record, stamp));
    }

    /// A job is live.
    pub fn is_live(&self, id: &JobId) -> bool {
        self.view.jobs.contains_key(id)
    }

    /// A job accepted or lent by a transaction of this controller is told to its
    /// parts at once if they are here too.
    pub fn put_job(&mut self, record: &JobRecord, stamp: Stamp, now: Moment) {
        if self.passed(stamp) {
            return;
        }
        let config = Arc::clone(&self.config);
        let id = &record.spec.id;
        self.own_writes.insert(id.clone(), stamp);
        self.view.jobs.entry(id.clone()).or_insert(0);
        self.view.own.insert(id.clone());
        for owned in self.owned.values_mut().filter(|o| o.loaded) {
            owned.ledger.put_job(record, stamp, false, now, &config);
        }
    }

    /// The record of a new job, with the part that is to run it.
    pub fn new_job(&mut self, spec: JobSpec, at_ms: u64, now: Moment) -> JobRecord {
        let config = Arc::clone(&self.config);
        self.sent
            .retain(|(at, ..)| now.since(*at) < Duration::from_millis(1500));
        let mut sent: BTreeMap<PartId, f64> = BTreeMap::new();
        for (_, part, size) in &self.sent {
            *sent.entry(*part).or_default() += size;
        }
        let mut parts = self.all_parts(now);
        parts.retain(|p, _| self.view.parts.contains_key(p));
        let part = home::choose(&config, &spec, &parts, &self.view.machines, &sent);
        let mut record = JobRecord {
            spec,
            at_ms,
            part,
            lent: Vec::new(),
            done: String::new(),
        };
        home::spread(&config, &mut record, &parts, &self.view.machines, &sent);
        let shares = record.lent.iter().map(|l| (l.part, record.loan(l).len()));
        let size = home::size(&config, &record.spec);
        let one = size / f64::from(record.spec.tasks.max(1));
        let mut mine = size;
        for (part, tasks) in shares {
            let size = one * f64::from(tasks);
            mine -= size;
            self.sent.push((now, part, size));
        }
        self.sent.push((now, part, mine));
        record
    }
}

/// What became of a job's key.
#[derive(Debug, Clone)]
pub enum JobEntry {
    /// The live record.
    Record(Box<JobRecord>),
    /// As it was accepted, in a pack.
    Packed(Box<JobRecord>),
    /// A continuation.
    Chunk(u32, ChunkRecord),
    /// The live record, or the one in a pack, cannot be read.
    Unreadable,
    /// The job is over.
    Gone,
}

impl Owned {
    /// A job's key changed. `old`: an earlier owner may have launched it.
    pub fn job_event(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        stamp: Stamp,
        old: bool,
        now: Moment,
        config: &Config,
    ) {
        match entry {
            JobEntry::Record(record) => self.ledger.put_job(record, stamp, old, now, config),
            JobEntry::Packed(record) => self.ledger.put_packed(record, stamp, old, now, config),
            JobEntry::Chunk(n, record) => self.ledger.put_chunk(id, *n, record, stamp, config),
            JobEntry::Unreadable => self.ledger.block_job(id),
            JobEntry::Gone => {
                let blocked = self.ledger.unreadable_jobs.contains(id);
                let older = |j: &Job| j.stamp < stamp;
                if blocked || self.ledger.jobs.get(id).is_some_and(older) {
                    self.ledger.drop_job(id);
                }
            }
        }
    }
}

/// Reads a stored record; one that cannot be read is logged and left alone.
pub fn read<T: serde::de::DeserializeOwned>(value: Option<&cbor::Value>, path: &str) -> Option<T> {
    match cbor::from_value(value?) {
        Ok(record) => Some(record),
        Err(e) => {
            log::error!("record {path} cannot be read: {e}");
            None
        }
    }
}

/// Reads a stored pack; jobs in it that cannot be read are logged.
pub fn read_pack(value: &cbor::Value, path: &str) -> Option<PackRecord> {
    match PackRecord::from_value(value) {
        Ok(pack) => {
            for record in &pack.unreadable {
                let id = pulleywood_wire::pack::job_id(record);
                let name = id.map_or("one".to_owned(), |id| id.to_string());
                log::error!("record {path}: job {name} cannot be read");
            }
            Some(pack)
        }
        Err(e) => {
            log::error!("record {path} cannot be read: {e}");
            None
        }
    }
}

/// Reads a stored rack; machines in it that cannot be read are logged.
pub fn read_rack(value: &cbor::Value, path: &str) -> Option<RackRecord> {
    match RackRecord::from_value(value) {
        Ok(rack) => {
            for id in rack.unreadable.keys() {
                log::error!("record {path}: machine {id} cannot be read");
            }
            Some(rack)
        }
        Err(e) => {
            log::error!("record {path} cannot be read: {e}");
            None
        }
    }
}

#[cfg(test)]
mod tests;
