//! Leases, parts and done batches: what makes this controller an owner.

use crate::clock::time_of_day_ms;
use crate::node::{JobEntry, Node, Owned, Shared, read};
use crate::pace;
use hdrhistogram::Histogram;
use pulleywood_core::health::News;
use pulleywood_core::ledger::{self, Offer, Reach, Started};
use pulleywood_core::{PartLedger, grants};
use pulleywood_net::state::Outcome;
use pulleywood_net::{Class, StateError, cloud};
use pulleywood_wire::pack::PackRecord;
use pulleywood_wire::peer::Demand;
use pulleywood_wire::rack::RackRecord;
use pulleywood_wire::record::{
    Holder, JOBS, Key, LAYOUT, LastHolder, Layout, MachineRecord, PACKS, RACK, TERM, TermRecord,
    grant_key, job_key, last_key, part_key, rack_key,
};
use pulleywood_wire::state::{Commit, Item};
use pulleywood_wire::worker::Direct;
use pulleywood_wire::{JobId, MachineId, MemberId, Moment, PartId, Permit, Stamp, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// Keeps the lease renewed; runs for the life of the process.
pub fn renew(shared: &Arc<Shared>) {
    end_former_lease(shared);
    loop {
        let (permit, ttl) = {
            let node = shared.node.lock();
            (node.lease.permit, shared.ttl(&node))
        };
        let sent = shared.clock.now();
        let result = match permit {
            None => shared.state.grant(ttl).map(Some),
            Some(permit) => shared
                .state
                .renew(permit, (ttl / 3).min(Duration::from_millis(1200)))
                .map(|()| None),
        };
        let pause = match result {
            Ok(new) => {
                let mut node = shared.node.lock();
                if new.is_some() {
                    node.lease.permit = new;
                }
                node.lease.renewed = sent;
                ttl / 5
            }
            Err(StateError::NoLease) => {
                log::info!("the lease ran out: its parts are gone");
                let mut node = shared.node.lock();
                node.lease.permit = None;
                node.owned.clear();
                Duration::from_millis(50)
            }
            Err(e) => {
                log::debug!("lease: {e}");
                Duration::from_millis(250)
            }
        };
        // Jittered, so that renewals do not come back together after a stall.
        std::thread::sleep(pause.mul_f64(0.85 + 0.3 * fastrand::f64()));
    }
}

/// A restarted process ends the lease of its former self, which is dead, so
/// that its parts need not wait it out.
fn end_former_lease(shared: &Arc<Shared>) {
    loop {
        let holder = {
            let node = shared.node.lock();
            node.viewed.then(|| {
                let mine =
                    |h: &&(Holder, Stamp)| h.0.member == shared.me && h.0.boot != shared.boot;
                let part = node.view.parts.iter().find(|(_, h)| mine(h));
                part.map(|(p, _)| part_key(*p)).or_else(|| {
                    node.view
                        .role
                        .as_ref()
                        .filter(mine)
                        .map(|_| pulleywood_wire::record::ROLE.to_owned())
                })
            })
        };
        let key = match holder {
            None => {
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            Some(None) => return,
            Some(Some(key)) => key,
        };
        let ended = shared
            .state
            .get(Class::Lease, &key)
            .and_then(|item| match item {
                Some(item) => {
                    // Another may have taken the key since.
                    let mine = read::<Holder>(Some(&item.value), &key)
                        .is_some_and(|h| h.member == shared.me && h.boot != shared.boot);
                    match item.permit.filter(|_| mine) {
                        Some(permit) => shared.state.end(permit),
                        None => Ok(()),
                    }
                }
                None => Ok(()),
            });
        match ended {
            Ok(()) => {
                log::info!("ended the lease of this controller's former process");
                return;
            }
            Err(e) => {
                log::debug!("former lease: {e}");
                std::thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

/// Takes, rebuilds and hands back parts; runs for the life of the process.
pub fn hold_parts(shared: &Arc<Shared>) {
    loop {
        let step = {
            let node = shared.node.lock();
            next_step(shared, &node)
        };
        let result = match step {
            Step::Nothing => Ok(()),
            Step::Init => init(shared),
            Step::Take(part, permit) => {
                stagger(shared);
                take(shared, part, permit)
            }
            Step::HandBack(part) => hand_back(shared, part),
            Step::GiveUp(part) => {
                log::info!("no worker of part {part} is heard here");
                let now = shared.clock.now();
                shared.node.lock().give_up_parts(now);
                hand_back(shared, part)
            }
            Step::Disown(part, stamp) => disown(shared, part, stamp),
            Step::Settle(part) => settle(shared, part),
        };
        if let Err(e) = result {
            log::debug!("parts: {e}");
        }
        let mut node = shared.node.lock();
        shared.bell.wait_for(&mut node, Duration::from_millis(200));
        drop(node);
        std::thread::sleep(Duration::from_millis(30));
    }
}

/// At the first start all controllers take their parts at once, each with the
/// next term, and all but one lose their tokens with it. They go one by one.
fn stagger(shared: &Shared) {
    const TURN: Duration = Duration::from_millis(40);
    if shared.node.lock().view.parts.is_empty() {
        let before = shared.peers.keys().filter(|p| **p < shared.me).count();
        std::thread::sleep(TURN * before as u32);
    }
}

enum Step {
    Nothing,
    Init,
    Take(PartId, Permit),
    HandBack(PartId),
    /// A transaction that was given up on was applied after all.
    Disown(PartId, Stamp),
    /// No worker reaches this owner.
    GiveUp(PartId),
    /// Every machine that came with the part is accounted for.
    Settle(PartId),
}

/// A part without an owner waits this long for one that has none.
const GRACE: Duration = Duration::from_millis(800);

fn next_step(shared: &Shared, node: &Node) -> Step {
    let now = shared.clock.now();
    if !node.viewed || !node.may_act(now) || node.config.flavors.is_empty() {
        return Step::Nothing;
    }
    let Some(permit) = node.lease.permit else {
        return Step::Nothing;
    };
    let Some(layout) = node.view.layout else {
        return Step::Init;
    };
    let fresh = |member: &MemberId| {
        node.digests
            .get(member)
            .filter(|(_, at)| now.since(*at) < Duration::from_secs(3))
            .map(|(d, _)| d)
    };
    let mut members: Vec<&MemberId> = shared.peers.keys().chain([&shared.me]).collect();
    members.sort();
    // Workers that reach nobody here may reach another.
    let other = members.iter().any(|m| fresh(m).is_some_and(|d| d.fit));
    let held = node.owned.values().filter(|o| o.loaded).map(|o| &o.ledger);
    let reached = ledger::reach(held, now, &node.config);
    let stays = |o: &Owned| o.loaded && !o.leaving;
    if other
        && reached == Reach::Nobody
        && let Some((p, _)) = node.owned.iter().find(|(_, o)| stays(o))
    {
        return Step::GiveUp(*p);
    }
    if now < node.unreached.0 {
        return Step::Nothing;
    }
    // Of several that no worker reaches, each would take the others' parts.
    let unsure = other && reached != Reach::Some;
    let preferred = |p: PartId| members[p.0 as usize % members.len()];
    let partless = |m: &&MemberId| fresh(m).is_some_and(|d| d.fit && d.serving.is_empty());
    let mut best: Option<(bool, PartId)> = None;
    for p in (0..layout.parts).map(PartId) {
        if let Some((holder, stamp)) = node.view.parts.get(&p)
            && holder.member == shared.me
            && holder.boot == shared.boot
            && !node.owned.contains_key(&p)
        {
            return Step::Disown(p, *stamp);
        }
        if node.view.parts.contains_key(&p) || node.owned.contains_key(&p) {
            continue;
        }
        let free = node
            .view
            .free_since
            .get(&p)
            .map_or(Duration::ZERO, |at| now.since(*at));
        let mine = *preferred(p) == shared.me;
        let ready = match node.owned.is_empty() {
            true if mine => true,
            // Its preferred owner may be starting too.
            true => free > GRACE / 2 && !partless(&preferred(p)),
            false if mine => free > GRACE / 2,
            false => free > GRACE && !members.iter().any(partless),
        };
        if ready && !unsure && best.is_none_or(|(m, _)| mine && !m) {
            best = Some((mine, p));
        }
    }
    if let Some((_, p)) = best {
        return Step::Take(p, permit);
    }
    if node.owned.len() > 1 && node.owned.values().all(|o| o.loaded && !o.leaving) {
        let idle: Vec<&&MemberId> = members.iter().filter(|m| partless(m)).collect();
        if let Some(to) = idle.first() {
            let choice = node
                .owned
                .keys()
                .find(|p| *preferred(**p) == ***to)
                .or_else(|| node.owned.keys().find(|p| *preferred(**p) != shared.me));
            if let Some(p) = choice {
                return Step::HandBack(*p);
            }
        }
    }
    let unsettled = |o: &Owned| o.loaded && o.settled.is_none() && !o.ledger.rebuilding();
    match node.owned.iter().find(|(_, o)| unsettled(o)) {
        Some((p, _)) => Step::Settle(*p),
        None => Step::Nothing,
    }
}

/// Records that the next owner has this one's workers alone to think of.
fn settle(shared: &Arc<Shared>, part: PartId) -> Result<(), StateError> {
    let key = last_key(part);
    let Some(item) = shared.state.get(Class::Owner, &key)? else {
        return Ok(());
    };
    let Some(last) = read::<LastHolder>(Some(&item.value), &key) else {
        return Ok(());
    };
    let (stamp, term) = {
        let node = shared.node.lock();
        match node.owned.get(&part) {
            Some(owned) if owned.ledger.term == last.holder.term => (owned.stamp, last.holder.term),
            _ => return Ok(()),
        }
    };
    let settled = LastHolder {
        settled: true,
        ..last
    };
    let commit = Commit::default()
        .when(part_key(part), stamp)
        .when(key.clone(), item.stamp)
        .write(key, &settled);
    if let Outcome::Applied(at) = shared.state.commit(Class::Owner, &commit)?
        && let Some(owned) = shared.node.lock().owned.get_mut(&part)
        && owned.ledger.term == term
    {
        owned.settled = Some(at);
    }
    Ok(())
}

/// Stores the layout, once for ever.
fn init(shared: &Arc<Shared>) -> Result<(), StateError> {
    let parts = shared.settings.cluster.initial_size;
    let commit = Commit::default()
        .when(LAYOUT, Stamp(0))
        .when(TERM, Stamp(0))
        .write(LAYOUT, &Layout { parts })
        .write(TERM, &TermRecord { last: Term(0) });
    let outcome = shared.state.commit(Class::Owner, &commit)?;
    log::info!("stored the layout of {parts} parts: {outcome:?}");
    std::thread::sleep(Duration::from_millis(100));
    Ok(())
}

/// The newest term and its stamp, read from the store.
pub fn newest_term(shared: &Shared) -> Result<(Term, Stamp), StateError> {
    let item = shared.state.get(Class::Owner, TERM)?;
    Ok(item
        .and_then(|i| read::<TermRecord>(Some(&i.value), TERM).map(|r| (r.last, i.stamp)))
        .unwrap_or_default())
}

fn take(shared: &Arc<Shared>, part: PartId, permit: Permit) -> Result<(), StateError> {
    let (term, term_stamp) = newest_term(shared)?;
    let last = shared.state.get(Class::Owner, &last_key(part))?;
    let (last, last_stamp) = match &last {
        Some(item) => (
            read::<LastHolder>(Some(&item.value), &item.path),
            item.stamp,
        ),
        None => (None, Stamp(0)),
    };
    let term = Term(term.0 + 1);
    let holder = Holder {
        member: shared.me.clone(),
        boot: shared.boot,
        term,
    };
    let (config, has_grant, layout) = {
        let node = shared.node.lock();
        (
            Arc::clone(&node.config),
            node.view.grants.contains_key(&part),
            node.view.layout,
        )
    };
    let mut commit = Commit::default()
        .when(part_key(part), Stamp(0))
        .when(TERM, term_stamp)
        .when(last_key(part), last_stamp)
        .write(TERM, &TermRecord { last: term })
        .hold(part_key(part), &holder, permit)
        .write(
            last_key(part),
            &LastHolder {
                holder: holder.clone(),
                settled: last.is_none(),
            },
        );
    let first_grant = grants::first(&config, layout.map_or(1, |l| l.parts));
    if !has_grant {
        commit = commit
            .when(grant_key(part), Stamp(0))
            .write(grant_key(part), &first_grant);
    }
    let stamp = match shared.state.commit(Class::Lease, &commit) {
        Ok(Outcome::Applied(stamp)) => stamp,
        Ok(Outcome::Conflict) => {
            // Most likely another part was taken at this moment.
            std::thread::sleep(Duration::from_millis(fastrand::u64(5..60)));
            return Ok(());
        }
        // If it was applied all the same, the key names this process: it is
        // found below, by reading it.
        Err(StateError::Unknown(_)) => match shared.state.get(Class::Owner, &part_key(part))? {
            Some(item)
                if read::<Holder>(Some(&item.value), &item.path).as_ref() == Some(&holder) =>
            {
                item.stamp
            }
            _ => return Ok(()),
        },
        Err(e) => return Err(e),
    };
    let now = shared.clock.now();
    // Workers that report to nobody: the old owner may answer them for a while
    // after its last contact, unless its process is known to have ended. If it
    // had not accounted for all machines itself, so may those before it: once
    // a restarted process trusted in its former self alone, which had held the
    // part for less time than the owner before may answer workers.
    let (silent_until, before) = match &last {
        None => (now, None),
        Some(l) if !l.settled => (now + config.silent_span(), None),
        Some(l) if l.holder.member == shared.me => (now + config.surely_lapsed(), None),
        Some(l) => (now + config.silent_span(), Some(l.holder.clone())),
    };
    log::info!("took part {part} under term {term}, before: {last:?}");
    {
        let mut node = shared.node.lock();
        if node.lease.permit != Some(permit) {
            return Ok(());
        }
        // The watch may have brought its end, which it does not bring again.
        let key = node.view.parts.get(&part);
        if node.passed(stamp) && key.is_none_or(|(_, at)| *at != stamp) {
            return Ok(());
        }
        let mut ledger = PartLedger::new(part, term, silent_until, config.zones.clone());
        ledger.day_offset_ms = now.0 as i64 - time_of_day_ms() as i64;
        if !has_grant {
            node.put_grant(part, first_grant, stamp);
        }
        if let Some((record, _)) = node.view.grants.get(&part) {
            ledger.grants = record.clone();
        }
        node.view.parts.insert(part, (holder, stamp));
        node.view.free_since.remove(&part);
        node.owned.insert(
            part,
            Owned {
                ledger,
                stamp,
                loaded: false,
                held: Vec::new(),
                leaving: false,
                taken: now,
                settled: last.is_none().then_some(stamp),
                before,
            },
        );
    }
    load(shared, part, stamp)
}

/// Reads a part's machines and jobs, then introduces the new term.
fn load(shared: &Arc<Shared>, part: PartId, part_stamp: Stamp) -> Result<(), StateError> {
    // Packs first: a job that leaves its pack meanwhile is found in the rest.
    let read_all = || {
        let packs = shared.state.list(Class::Owner, PACKS)?;
        let jobs = shared.state.list(Class::Owner, JOBS)?;
        Ok((packs, jobs, shared.state.list(Class::Owner, RACK)?))
    };
    let (packs, jobs, racks) = loop {
        match read_all() {
            Ok(all) => break all,
            Err(StateError::TooOld) => return Ok(()),
            Err(e) => {
                log::debug!("reading part {part}: {e}");
                std::thread::sleep(Duration::from_millis(200));
                let node = shared.node.lock();
                if node.owned.get(&part).is_none_or(|o| o.stamp != part_stamp) {
                    return Ok(());
                }
            }
        }
    };
    let now = shared.clock.now();
    let mut to_greet = Vec::new();
    {
        let mut guard = shared.node.lock();
        let node = &mut *guard;
        let config = Arc::clone(&node.config);
        let Some(owned) = node.owned.get_mut(&part).filter(|o| o.stamp == part_stamp) else {
            return Ok(());
        };
        for item in &racks.0 {
            let (Some(Key::Rack(n)), Some(rack)) = (
                Key::parse(&item.path),
                read::<RackRecord>(Some(&item.value), &item.path),
            ) else {
                continue;
            };
            // The watch may have brought a newer one while this was read.
            let (rack, stamp) = match node.view.racks.get(n) {
                Some((newer, stamp)) if *stamp > item.stamp => (newer.clone(), *stamp),
                _ => (rack, item.stamp),
            };
            for (id, record) in rack.machines.into_iter().filter(|(_, r)| r.part == part) {
                if !record.endpoint.is_empty() {
                    to_greet.push((id.clone(), record.endpoint.clone()));
                }
                // Also replaces what an event may have brought as not inherited.
                owned.ledger.machines.remove(&id);
                owned.ledger.put_machine(&id, record, stamp, true, now);
            }
        }
        for item in &packs.0 {
            let pack: PackRecord = read(Some(&item.value), &item.path).unwrap_or_default();
            for record in pack.jobs {
                let id = record.spec.id.clone();
                let entry = JobEntry::Packed(Box::new(record));
                owned.job_event(&id, &entry, item.stamp, true, now, &config);
            }
        }
        // Continuations sort after their job's record.
        for item in &jobs.0 {
            if let Some((id, entry)) = job_entry(item) {
                owned.job_event(&id, &entry, item.stamp, true, now, &config);
            }
        }
        owned.loaded = true;
        for (id, entry, stamp) in std::mem::take(&mut owned.held) {
            if stamp.0 > packs.1 {
                owned.job_event(&id, &entry, stamp, false, now, &config);
            }
        }
        log::info!(
            "part {part}: {} jobs, {} machines",
            node.owned[&part].ledger.jobs.len(),
            to_greet.len()
        );
    }
    greet(shared, part, to_greet);
    Ok(())
}

/// A job's record or continuation, as listed.
fn job_entry(item: &Item) -> Option<(JobId, JobEntry)> {
    let Key::Job(_, id, chunk) = Key::parse(&item.path)? else {
        return None;
    };
    let value = Some(&item.value);
    let entry = match chunk {
        0 => JobEntry::Record(Box::new(read(value, &item.path)?)),
        n => JobEntry::Chunk(n, read(value, &item.path)?),
    };
    Some((id, entry))
}

/// Sends each machine the new term by an empty direct command, a few at a
/// time: its reply is its report, and it then reports by itself.
fn greet(shared: &Arc<Shared>, part: PartId, machines: Vec<(MachineId, String)>) {
    const AT_ONCE: usize = 3;
    let shared = Arc::clone(shared);
    let work = move |(id, endpoint): (MachineId, String)| {
        greet_one(&shared, part, &id, &endpoint);
    };
    pace::few_at_a_time("greet", AT_ONCE, machines, work);
}

fn greet_one(shared: &Shared, part: PartId, id: &MachineId, endpoint: &str) {
    let Ok(addr) = endpoint.parse() else {
        return;
    };
    // A wrong session is answered with 409 and the report, whose session then
    // lets the second try through.
    let mut session = 1;
    for _ in 0..2 {
        let term = {
            let now = shared.clock.now();
            let node = shared.node.lock();
            let Some(owned) = node.owned.get(&part).filter(|_| node.may_act(now)) else {
                return;
            };
            match owned.ledger.machines.get(id) {
                Some(m) if !m.confirmed => m.term(owned.ledger.term),
                _ => return,
            }
        };
        let direct = Direct {
            term,
            session,
            orders: Vec::new(),
        };
        match cloud::direct(addr, &direct, Duration::from_millis(1500)) {
            Ok((true, report)) if report.machine == *id => {
                let now = shared.clock.now();
                let mut node = shared.node.lock();
                let config = Arc::clone(&node.config);
                if let Some(owned) = node.owned.get_mut(&part) {
                    owned.ledger.report(&report, true, now, &config);
                }
                return;
            }
            Ok((false, report)) if report.session != session => session = report.session,
            Ok(_) => return,
            Err(e) => {
                log::debug!("greeting {id}: {e}");
                return;
            }
        }
    }
}

/// Gives a part to a controller that has none: launches stop, what is done is
/// committed, and the part's key is deleted.
fn hand_back(shared: &Arc<Shared>, part: PartId) -> Result<(), StateError> {
    log::info!("giving part {part} to another controller");
    let stamp = {
        let mut node = shared.node.lock();
        let Some(owned) = node.owned.get_mut(&part) else {
            return Ok(());
        };
        owned.leaving = true;
        owned.stamp
    };
    let commit = Commit::default()
        .when(part_key(part), stamp)
        .delete(part_key(part));
    let outcome = shared.state.commit(Class::Owner, &commit);
    let mut node = shared.node.lock();
    match outcome {
        // Without an answer it may be gone; better gone than held twice.
        Ok(_) | Err(StateError::Unknown(_)) => {
            node.owned.remove(&part);
            if matches!(outcome, Ok(Outcome::Applied(_))) {
                node.view.parts.remove(&part);
                let now = shared.clock.now();
                node.view.free_since.insert(part, now);
            }
        }
        Err(_) => {
            if let Some(owned) = node.owned.get_mut(&part) {
                owned.leaving = false;
            }
        }
    }
    outcome.map(|_| ())
}

/// Frees a part whose key names this process though it does not hold it.
fn disown(shared: &Arc<Shared>, part: PartId, stamp: Stamp) -> Result<(), StateError> {
    log::info!("part {part} was taken by a late transaction: freeing it");
    let commit = Commit::default()
        .when(part_key(part), stamp)
        .delete(part_key(part));
    if let Outcome::Applied(_) = shared.state.commit(Class::Owner, &commit)? {
        let mut node = shared.node.lock();
        node.view.parts.remove(&part);
        let now = shared.clock.now();
        node.view.free_since.insert(part, now);
    }
    Ok(())
}

/// How long tasks waited for their launch and then for their image, by class,
/// for the log.
struct Waits {
    since: Moment,
    classes: BTreeMap<String, [Histogram<u32>; 2]>,
}

impl Waits {
    fn new(since: Moment) -> Self {
        Self {
            since,
            classes: BTreeMap::new(),
        }
    }

    fn add(&mut self, started: Vec<Started>) {
        const HIGHEST_MS: u64 = 86_400_000;
        for s in started {
            log::debug!(
                "{} runs, {:.1} s after its launch",
                s.task,
                s.fetched.as_secs_f64()
            );
            let new = || Histogram::new_with_max(HIGHEST_MS, 2).ok();
            if !self.classes.contains_key(&s.class)
                && let (Some(a), Some(b)) = (new(), new())
            {
                self.classes.insert(s.class.clone(), [a, b]);
            }
            if let Some([waited, fetched]) = self.classes.get_mut(&s.class) {
                waited.saturating_record(s.waited.as_millis() as u64);
                fetched.saturating_record(s.fetched.as_millis() as u64);
            }
        }
    }

    fn log(&mut self, now: Moment) {
        const EVERY: Duration = Duration::from_secs(30);
        if now.since(self.since) < EVERY {
            return;
        }
        self.since = now;
        for (class, [waited, fetched]) in std::mem::take(&mut self.classes) {
            let s = |h: &Histogram<u32>, q| h.value_at_quantile(q) as f64 / 1000.0;
            log::info!(
                "{class}: {} tasks started; launched after {:.1} s (p50) {:.1} s (p90), ran {:.1} s (p50) {:.1} s (p90) later",
                waited.len(),
                s(&waited, 0.5),
                s(&waited, 0.9),
                s(&fetched, 0.5),
                s(&fetched, 0.9),
            );
        }
    }
}

/// Lets time pass in the ledgers and commits done batches; runs for the life
/// of the process.
pub fn flush(shared: &Arc<Shared>) {
    let mut waits = Waits::new(shared.clock.now());
    let mut images_at = shared.clock.now();
    loop {
        std::thread::sleep(Duration::from_millis(200));
        let now = shared.clock.now();
        let mut news = Vec::new();
        let parts: Vec<(PartId, bool)> = {
            let mut node = shared.node.lock();
            let config = Arc::clone(&node.config);
            for owned in node.owned.values_mut().filter(|o| o.loaded) {
                owned.ledger.tick(now, &config);
                waits.add(owned.ledger.take_started());
                news.extend(owned.ledger.take_news());
            }
            waits.log(now);
            tell(news);
            if !node.may_act(now) {
                continue;
            }
            node.owned
                .iter()
                .filter(|(_, o)| o.loaded)
                .filter_map(|(p, o)| Some((*p, o.ledger.has_batch(now, &node.config)?)))
                .collect()
        };
        for (part, urgent) in parts {
            let class = if urgent { Class::Done } else { Class::House };
            flush_part(shared, part, class, now);
        }
        if now.since(images_at) >= IMAGES_EVERY {
            images_at = now;
            write_images(shared);
        }
    }
}

/// Logs what was learnt of jobs and machines.
fn tell(news: Vec<News>) {
    for news in news {
        match news {
            News::Broken(id) => {
                log::info!("{id} fails on several machines and runs on none: held back");
            }
            News::Runs(id) => log::info!("{id} runs after all: no longer held back"),
            News::Unfit(id) => log::info!("{id} fails jobs that run elsewhere: to be replaced"),
            News::Fit(id) => log::info!("{id} runs again what it failed: kept"),
        }
    }
}

const IMAGES_EVERY: Duration = Duration::from_secs(5);

/// Writes which images machines have, when nothing more urgent needs the
/// tokens.
fn write_images(shared: &Arc<Shared>) {
    let batches: Vec<_> = {
        let node = shared.node.lock();
        let (ops, bytes) = (node.config.batch_ops, node.config.rack_bytes());
        let held = node.owned.iter();
        held.filter(|(_, o)| o.loaded && !o.leaving)
            .filter_map(|(part, o)| {
                let mut edits = BTreeMap::new();
                let mut touched = BTreeSet::new();
                for (id, record) in o.ledger.new_images() {
                    let Some(n) = node.view.racks.find(&id) else {
                        continue;
                    };
                    if touched.len() <= ops / 2 || touched.contains(&n) {
                        touched.insert(n);
                        edits.insert(id, Some(record));
                    }
                }
                let commit = Commit::default().when(part_key(*part), o.stamp);
                let (commit, racks) = node.view.racks.change(commit, &edits, bytes);
                (!racks.is_empty()).then_some((*part, commit, racks))
            })
            .collect()
    };
    for (part, commit, racks) in batches {
        match shared.state.commit(Class::House, &commit) {
            Ok(Outcome::Applied(stamp)) => {
                let now = shared.clock.now();
                shared.node.lock().put_racks(racks, stamp, now);
            }
            // The watch brings what is stored; the next round tries again.
            other => log::debug!("images of part {part}: {other:?}"),
        }
    }
}

fn flush_part(shared: &Arc<Shared>, part: PartId, class: Class, now: Moment) {
    let batch = {
        let node = shared.node.lock();
        let config = &node.config;
        node.owned
            .get(&part)
            .filter(|_| node.may_act(now))
            .and_then(|o| {
                let packs = &node.view.packs;
                Some((o.ledger.batch(o.stamp, packs, now, config)?, o.stamp))
            })
    };
    let Some((batch, part_stamp)) = batch else {
        return;
    };
    match shared.state.commit(class, &batch.commit) {
        Ok(Outcome::Applied(stamp)) => {
            let mut node = shared.node.lock();
            if let Some(owned) = node.owned.get_mut(&part).filter(|o| o.stamp == part_stamp) {
                owned.ledger.batch_applied(&batch, stamp);
            }
            for job in &batch.jobs {
                match job.over {
                    Some(_) => node.end_job(&job.id, stamp),
                    None => node.own_record(&job.id, stamp),
                }
            }
            node.left_packs(batch.packs, stamp, now);
            drop(node);
            for job in &batch.jobs {
                let (id, n) = (&job.id, job.tasks.len());
                if let Some(over) = &job.over {
                    // Its user asks next; the answer needs no read.
                    shared.finals.lock().put(id, over.clone());
                }
                let all = if job.over.is_some() {
                    ", all of them"
                } else {
                    ""
                };
                log::debug!("part {part}: {n} tasks of {id} done{all}");
            }
        }
        // A conflict, or no answer: what is stored decides, not what was sent.
        Ok(Outcome::Conflict) | Err(StateError::Unknown(_)) => {
            log::debug!("part {part}: done batch not confirmed, reading again");
            // What is in a pack is told by the watch.
            let packed = |id: &JobId| {
                let node = shared.node.lock();
                let owned = node.owned.get(&part);
                owned
                    .and_then(|o| o.ledger.jobs.get(id))
                    .is_some_and(|j| j.packed)
            };
            for job in batch.jobs.iter().filter(|j| !packed(&j.id)) {
                if let Err(e) = refresh_job(shared, part, part_stamp, &job.id) {
                    log::debug!("reading {}: {e}", job.id);
                }
            }
        }
        Err(e) => log::debug!("part {part}: done batch: {e}"),
    }
}

/// Brings one job's record up to what is stored.
fn refresh_job(
    shared: &Arc<Shared>,
    part: PartId,
    part_stamp: Stamp,
    id: &JobId,
) -> Result<(), StateError> {
    let parts = shared.node.lock().config.parts;
    let key = job_key(id.part(parts), id);
    let (items, _) = shared.state.list(Class::Owner, &key)?;
    let now = shared.clock.now();
    let mut node = shared.node.lock();
    let config = Arc::clone(&node.config);
    // The watch may have brought its end while it was read.
    let known = node.view.jobs.contains_key(id);
    let Some(owned) = node.owned.get_mut(&part).filter(|o| o.stamp == part_stamp) else {
        return Ok(());
    };
    let mut live = false;
    for item in &items {
        if let Some((job, entry)) = job_entry(item)
            && job == *id
            && known
        {
            live = true;
            owned.job_event(id, &entry, item.stamp, false, now, &config);
        }
    }
    if !live {
        owned.ledger.drop_job(id);
    }
    Ok(())
}

/// Lending goes on for this long at a time.
const LEND_TIME: Duration = Duration::from_millis(1000);

/// Lends waiting tasks of a part held here to another part. The shrunken
/// share is committed before the other part can see its larger one.
pub fn lend(shared: &Arc<Shared>, from: PartId, to: PartId, like: &Demand) -> bool {
    let now = shared.clock.now();
    let prepared = {
        let mut node = shared.node.lock();
        if !node.may_act(now) {
            return false;
        }
        let config = Arc::clone(&node.config);
        let node = &mut *node;
        let Some(owned) = node.owned.get_mut(&from).filter(|o| o.loaded && !o.leaving) else {
            return false;
        };
        let offers = owned.ledger.offer(like);
        let mut commits = Vec::new();
        for Offer { id, zone, tasks } in offers {
            let Some(job) = owned.ledger.jobs.get(&id) else {
                continue;
            };
            let mut record = job.record(job.committed.chunk_text(0, config.chunk));
            record.lend(to, zone.as_deref(), &tasks);
            let key = job_key(id.part(config.parts), &id);
            let mut commit = Commit::default()
                .when(part_key(from), owned.stamp)
                .when(key.clone(), if job.packed { Stamp(0) } else { job.stamp })
                .write(key, &record);
            let mut packs = Vec::new();
            if job.packed {
                let out = BTreeSet::from([id.clone()]);
                (commit, packs) = node.view.packs.take_out(commit, &out);
                if packs.is_empty() {
                    // It has left its pack; the watch is about to say how.
                    owned.ledger.withdraw_offer(&id);
                    continue;
                }
            }
            commits.push((id, record, commit, packs));
        }
        commits
    };
    let mut lent = false;
    let end = now + LEND_TIME;
    for (id, record, commit, packs) in prepared {
        let outcome = match shared.clock.now() < end {
            true => shared.state.commit(Class::House, &commit),
            // Whoever asked has stopped waiting.
            false => Err(StateError::Budget(Duration::ZERO)),
        };
        let now = shared.clock.now();
        let mut node = shared.node.lock();
        match outcome {
            Ok(Outcome::Applied(stamp)) => {
                node.put_job(&record, stamp, now);
                node.left_packs(packs, stamp, now);
                lent = true;
            }
            outcome => {
                let Some(owned) = node.owned.get_mut(&from) else {
                    continue;
                };
                match outcome {
                    Err(StateError::Unknown(_)) => owned.ledger.doubt_offer(&id),
                    // Not applied, and never will be.
                    _ => owned.ledger.withdraw_offer(&id),
                }
            }
        }
    }
    lent
}

/// The transaction that moves or retires a machine of a part held here.
pub fn let_go(shared: &Arc<Shared>, id: &MachineId, to: Option<PartId>) -> bool {
    let now = shared.clock.now();
    let Ok((term, term_stamp)) = (if to.is_some() {
        newest_term(shared)
    } else {
        Ok(Default::default())
    }) else {
        return false;
    };
    let prepared = {
        let mut node = shared.node.lock();
        if !node.may_act(now) {
            return false;
        }
        let node = &mut *node;
        let bytes = node.config.rack_bytes();
        let racks = &node.view.racks;
        node.owned.iter_mut().find_map(|(part, owned)| {
            if !owned.loaded || owned.leaving || !owned.ledger.may_leave(id) {
                return None;
            }
            let machine = owned.ledger.machines.get_mut(id)?;
            machine.leaving = true;
            let mut next = machine.record.clone();
            owned.ledger.disturb();
            let mut commit = Commit::default().when(part_key(*part), owned.stamp);
            match to {
                Some(to) => {
                    next.part = to;
                    next.term = Term(term.0 + 1);
                    let record = TermRecord { last: next.term };
                    commit = commit.when(TERM, term_stamp).write(TERM, &record);
                }
                None => next.retiring = true,
            }
            let edits = BTreeMap::from([(id.clone(), Some(next))]);
            let (commit, after) = racks.change(commit, &edits, bytes);
            Some((*part, owned.stamp, commit, after))
        })
    };
    let Some((part, part_stamp, commit, after)) = prepared else {
        return false;
    };
    if after.is_empty() {
        stay(shared, part, id);
        return false;
    }
    let outcome = shared.state.commit(Class::House, &commit);
    let now = shared.clock.now();
    match outcome {
        Ok(Outcome::Applied(stamp)) => {
            shared.node.lock().put_racks(after, stamp, now);
            log::info!("part {part} let {id} go: {to:?}");
            true
        }
        Ok(Outcome::Conflict)
        | Err(StateError::NotSent(_) | StateError::Refused(_) | StateError::Budget(_)) => {
            stay(shared, part, id);
            false
        }
        Err(_) => {
            // It may be applied minutes from now. Until a newer write fences
            // it off, the machine stays out of use.
            fence_machine(shared, part, part_stamp, id);
            false
        }
    }
}

fn stay(shared: &Shared, part: PartId, id: &MachineId) {
    let mut node = shared.node.lock();
    if let Some(owned) = node.owned.get_mut(&part)
        && let Some(machine) = owned.ledger.machines.get_mut(id)
    {
        machine.leaving = machine.record.retiring;
        owned.ledger.disturb();
    }
}

/// Rewrites a machine's rack as it is, so that an older transaction that was
/// never answered can no longer be applied.
fn fence_machine(shared: &Arc<Shared>, part: PartId, part_stamp: Stamp, id: &MachineId) {
    for _ in 0..10 {
        std::thread::sleep(Duration::from_millis(500));
        let Some(n) = shared.node.lock().view.racks.find(id) else {
            return;
        };
        let key = rack_key(n);
        let Ok(item) = shared.state.get(Class::Owner, &key) else {
            continue;
        };
        let now = shared.clock.now();
        let Some(item) = item else {
            return;
        };
        let Some(rack) = read::<RackRecord>(Some(&item.value), &key) else {
            return;
        };
        let ours = |r: &MachineRecord| r.part == part && !r.retiring;
        if !rack.machines.get(id).is_some_and(ours) {
            let mut node = shared.node.lock();
            node.put_racks(vec![(n, Some(rack))], item.stamp, now);
            return;
        }
        let commit = Commit::default()
            .when(key.clone(), item.stamp)
            .when(part_key(part), part_stamp)
            .write(key, &rack);
        if let Ok(Outcome::Applied(stamp)) = shared.state.commit(Class::Owner, &commit) {
            let mut node = shared.node.lock();
            node.put_racks(vec![(n, Some(rack))], stamp, now);
            drop(node);
            stay(shared, part, id);
            return;
        }
    }
}
