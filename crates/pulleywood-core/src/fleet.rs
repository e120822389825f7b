//! The coordinator's fleet decisions: idle machines moved between parts,
//! machines rented and given back.

use crate::config::Config;
use crate::room::Room;
use crate::types::{self, Choices, Types};
use pulleywood_wire::cloud::{Flavor, Rental, RentalStatus};
use pulleywood_wire::job::Rank;
use pulleywood_wire::peer::{Demand, MachineDigest, PartDigest};
use pulleywood_wire::record::MachineRecord;
use pulleywood_wire::time::secs;
use pulleywood_wire::{MachineId, Moment, PartId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

/// One kind of machine: type, zone, spot.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Kind {
    /// Machine type.
    pub flavor: String,
    /// Zone.
    pub zone: String,
    /// Spot.
    pub spot: bool,
}

/// What the coordinator does.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// An idle machine goes to another part.
    Move(MachineId, PartId, PartId),
    /// Waiting tasks of one shape are lent by one part to another.
    Lend(PartId, PartId, Box<Demand>),
    /// Machines of a part are emptied.
    Drain(PartId, Vec<MachineId>),
    /// A machine is given back once its part let it go.
    Retire(MachineId, PartId),
    /// Machines are rented; whichever part hears them first adopts them.
    Hire(Kind, u32),
    /// Machines are released that nobody commands, or that are surely dead.
    Release(Vec<MachineId>, &'static str),
}

/// What the coordinator remembers between rounds; all of it can be lost.
#[derive(Debug, Default)]
pub struct Memory {
    refused: BTreeMap<Kind, (u32, Moment)>,
    /// When a machine was first known here, and first missed in the list.
    first_seen: BTreeMap<MachineId, Moment>,
    missed_since: BTreeMap<MachineId, Moment>,
    /// Machines that are on their way up, and since when.
    booting: BTreeMap<MachineId, (Kind, Moment)>,
    moved: BTreeMap<MachineId, Moment>,
    /// Machines being emptied.
    draining: BTreeSet<MachineId>,
    /// When a machine that was out of touch was last replaced.
    replaced: Option<Moment>,
    /// What machine types work had to choose from lately.
    choices: Choices,
}

impl Memory {
    /// A machine was not moved after all.
    pub fn not_moved(&mut self, id: &MachineId) {
        self.moved.remove(id);
    }

    /// A rental was refused: back off by type, zone and kind.
    pub fn refused(&mut self, kind: &Kind, now: Moment) {
        let times = self.refused.get(kind).map_or(0, |(times, _)| *times);
        let wait = Duration::from_secs(5 << times.min(3));
        self.refused.insert(kind.clone(), (times + 1, now + wait));
    }

    /// A rental was filled, at least in part.
    pub fn filled(&mut self, kind: &Kind) {
        self.refused.remove(kind);
    }

    /// Machines were rented: they count as room from now on.
    pub fn hired(&mut self, machines: &[MachineId], kind: &Kind, now: Moment) {
        for id in machines {
            self.booting.insert(id.clone(), (kind.clone(), now));
        }
    }

    /// Forgets machines that are up or will not come, and learns of others
    /// from the list, which another coordinator may have rented.
    fn update_booting(&mut self, config: &Config, seen: &Seen<'_>) {
        for rental in seen.list.unwrap_or_default() {
            if rental.status == RentalStatus::Starting {
                let kind = Kind {
                    flavor: rental.flavor.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                };
                self.booting
                    .entry(rental.machine.clone())
                    .or_insert_with(|| (kind, seen.now - secs(rental.age_s.0)));
            }
        }
        self.booting.retain(|id, (kind, since)| {
            let boot = config.flavors.get(&kind.flavor).map_or(0.0, |f| f.boot_s.0);
            !seen.records.contains_key(id) && seen.now.since(*since) < secs(boot * LATE_BOOT)
        });
    }

    /// Whether this kind may be asked for: it was not refused lately.
    pub fn open(&self, kind: &Kind, now: Moment) -> bool {
        self.refused
            .get(kind)
            .is_none_or(|(_, until)| now >= *until)
    }
}

/// What the coordinator sees.
#[derive(Debug)]
pub struct Seen<'a> {
    /// Time.
    pub now: Moment,
    /// All machines' records.
    pub records: &'a BTreeMap<MachineId, MachineRecord>,
    /// Fresh digests of owned parts.
    pub parts: &'a BTreeMap<PartId, Arc<PartDigest>>,
    /// The newest machine list, if one came lately.
    pub list: Option<&'a [Rental]>,
    /// There is more work than the digests show: no machine is emptied or
    /// given back.
    pub hold: bool,
}

/// The fleet in one line, for logs.
pub fn summary(config: &Config, seen: &Seen<'_>) -> String {
    let mut text = String::from("fleet");
    let digests: BTreeMap<&MachineId, &MachineDigest> = seen
        .parts
        .values()
        .flat_map(|p| &p.machines)
        .map(|m| (&m.machine, m))
        .collect();
    for spot in [false, true] {
        let (mut all, mut booting, mut idle, mut busy) = (0, 0, 0, 0.0);
        for (id, record) in seen.records.iter().filter(|(_, r)| r.spot == spot) {
            all += 1;
            let digest = digests.get(id);
            let whole = config
                .flavors
                .get(&record.flavor)
                .map(Room::of_flavor)
                .unwrap_or_default();
            match digest {
                Some(d) if d.silent_s >= 0.0 => {
                    idle += u32::from(d.idle_s >= 0.0);
                    let free = Room {
                        cpus: d.cpus,
                        gpus: d.gpus,
                        memory_gb: d.memory_gb,
                    };
                    busy += free.used_of(&whole);
                }
                _ => booting += 1,
            }
        }
        let kind = if spot { "spot" } else { "ordinary" };
        text += &format!(" {kind}: {all} machines, {booting} not up, {idle} idle, {busy:.1} busy;");
    }
    for part in seen.parts.values() {
        let free: f64 = part.machines.iter().map(|m| m.gpus).sum();
        let waiting: u32 = part.demand.iter().map(|d| d.count).sum();
        text += &format!(
            " part {}: {} machines, {free} GPUs free, {waiting} waiting;",
            part.part,
            part.machines.len()
        );
    }
    for rank in [Rank::Production, Rank::Urgent, Rank::Standard, Rank::Idle] {
        let waiting: u32 = seen
            .parts
            .values()
            .flat_map(|p| &p.demand)
            .filter(|d| d.rank == rank)
            .map(|d| d.count)
            .sum();
        if waiting > 0 {
            text += &format!(" {rank:?} waiting: {waiting};");
        }
    }
    text
}

/// A machine's room while demand is spread over it.
struct Bin {
    machine: Option<MachineId>,
    /// None while it is on its way: any part may adopt it.
    part: Option<PartId>,
    kind: Kind,
    /// It reports.
    up: bool,
    /// It is idle, or not known to be busy.
    idle: bool,
    free: Room,
    whole: Room,
    taken: u32,
    /// The share of its further turns, until another machine would be up, that is
    /// given to short tasks.
    queued: f64,
    /// Room held by each rank.
    held: Vec<(Rank, Room)>,
    pinned: f64,
}

impl Bin {
    /// A machine that is not up yet.
    fn fresh(machine: Option<MachineId>, kind: Kind, flavor: &Flavor) -> Bin {
        let whole = Room::of_flavor(flavor);
        Bin {
            machine,
            part: None,
            kind,
            up: false,
            idle: false,
            free: whole,
            whole,
            taken: 0,
            queued: 0.0,
            held: Vec::new(),
            pinned: 0.0,
        }
    }

    /// Of this part, or of none yet.
    fn is_of(&self, part: PartId) -> bool {
        self.part.is_none_or(|p| p == part)
    }

    /// Room that yields to a rank, what is free included.
    fn yields(&self, rank: Rank) -> Room {
        let mut room = self.free;
        for (_, held) in self.held.iter().filter(|(r, _)| *r < rank) {
            room += *held;
        }
        room
    }
}

fn allows(demand: &Demand, kind: &Kind) -> bool {
    (demand.spot || !kind.spot)
        && (demand.zones.is_empty() || demand.zones.contains(&kind.zone))
        && demand
            .types
            .as_ref()
            .is_none_or(|t| t.contains(&kind.flavor))
}

fn need(demand: &Demand) -> Room {
    Room {
        cpus: demand.cpus,
        gpus: demand.gpus,
        memory_gb: demand.memory_gb,
    }
}

/// A machine that takes more than this many usual boot times may never come
/// up, and is counted on no more.
const LATE_BOOT: f64 = 1.7;

/// Most machines of one kind that one round rents.
const MAX_HIRE: u32 = 200;

/// One round of decisions.
pub fn decide(config: &Config, memory: &mut Memory, seen: &Seen<'_>) -> Vec<Action> {
    let mut actions = release_dead(config, memory, seen);
    let now = seen.now;
    memory
        .first_seen
        .retain(|id, _| seen.records.contains_key(id));
    for id in seen.records.keys() {
        memory.first_seen.entry(id.clone()).or_insert(now);
    }
    memory
        .moved
        .retain(|_, at| now.since(*at) < Duration::from_secs(10));

    let digests: BTreeMap<&MachineId, (&MachineDigest, PartId)> = seen
        .parts
        .values()
        .flat_map(|p| p.machines.iter().map(move |m| (&m.machine, (m, p.part))))
        .collect();
    memory.update_booting(config, seen);
    let mut bins = Vec::new();
    for (id, record) in seen.records {
        let Some(flavor) = config.flavors.get(&record.flavor) else {
            continue;
        };
        if record.retiring {
            continue;
        }
        let whole = Room::of_flavor(flavor);
        let digest = digests.get(id);
        if digest.is_some_and(|(m, _)| m.unfit) {
            continue;
        }
        let age = memory
            .first_seen
            .get(id)
            .map_or(0.0, |at| now.since(*at).as_secs_f64());
        let free = match digest {
            Some((m, _)) if m.silent_s >= 0.0 => {
                // A machine that fell silent promises nothing.
                if m.silent_s > config.report.as_secs_f64() * 4.0 + 1.0 {
                    continue;
                }
                Room {
                    cpus: m.cpus,
                    gpus: m.gpus,
                    memory_gb: m.memory_gb,
                }
            }
            _ if age > flavor.boot_s.0 * LATE_BOOT => continue,
            _ => whole,
        };
        bins.push(Bin {
            machine: Some(id.clone()),
            part: Some(record.part),
            kind: Kind {
                flavor: record.flavor.clone(),
                zone: record.zone.clone(),
                spot: record.spot,
            },
            up: digest.is_some_and(|(m, _)| m.silent_s >= 0.0),
            idle: digest.is_none_or(|(m, _)| m.idle_s >= 1.0),
            free,
            whole,
            taken: 0,
            queued: 0.0,
            held: digest
                .map(|(m, _)| {
                    let room = |&(rank, cpus, gpus, memory_gb): &(Rank, f64, f64, f64)| {
                        let room = Room {
                            cpus,
                            gpus,
                            memory_gb,
                        };
                        (rank, room)
                    };
                    m.held.iter().map(room).collect()
                })
                .unwrap_or_default(),
            pinned: digest.map_or(0.0, |(m, _)| m.pinned),
        });
    }

    for (id, (kind, _)) in &memory.booting {
        if let Some(flavor) = config.flavors.get(&kind.flavor) {
            bins.push(Bin::fresh(Some(id.clone()), kind.clone(), flavor));
        }
    }
    // What is being emptied is filled last, and kept if it is needed.
    bins.sort_by_key(|b| {
        b.machine
            .as_ref()
            .is_some_and(|m| memory.draining.contains(m))
    });
    let mut demands: Vec<(PartId, &Demand)> = seen
        .parts
        .values()
        .flat_map(|p| p.demand.iter().map(move |d| (p.part, d)))
        .collect();
    for (_, demand) in &demands {
        memory.choices.note(types::of_demand(config, demand), now);
    }
    memory.choices.forget(now);
    // Work that has few types to choose from has its machines counted before
    // others, which then find what is left, or get machines of other types.
    let avoids = |memory: &Memory, demand: &Demand| {
        let types = types::of_demand(config, demand);
        memory.choices.left_to_others(&types)
    };
    demands.sort_by_key(|(_, d)| (!avoids(memory, d).is_empty(), std::cmp::Reverse(d.rank)));

    let mut hires: BTreeMap<Kind, u32> = BTreeMap::new();
    let queued: Vec<&Demand> = demands.iter().map(|(_, d)| *d).collect();
    // Work that has few types to choose from finds no room on them.
    let mut lacking = false;
    for (part, demand) in demands {
        let need = need(demand);
        let avoid = avoids(memory, demand);
        let own = |b: &Bin| !avoid.contains(&b.kind.flavor);
        let mut left = demand.count;
        // Room of the part itself, on machines that are up.
        left = fill(&mut bins, left, demand, &need, |b| {
            b.part == Some(part) && b.up && own(b)
        });
        // Idle machines of other parts are moved.
        while left > 0 {
            let idle = bins.iter().position(|b| {
                b.part.is_some_and(|p| p != part)
                    && b.taken == 0
                    && b.idle
                    && own(b)
                    && (!demand.free || near(config, part, b))
                    && b.free.fits(&need)
                    && allows(demand, &b.kind)
                    && (b.machine.as_ref()).is_some_and(|m| !memory.moved.contains_key(m))
            });
            let Some(at) = idle else { break };
            let bin = &mut bins[at];
            if let (Some(machine), Some(from)) = (bin.machine.clone(), bin.part) {
                memory.moved.insert(machine.clone(), now);
                actions.push(Action::Move(machine, from, part));
            }
            bin.part = Some(part);
            left = fill(&mut bins, left, demand, &need, |b| b.is_of(part) && own(b));
        }
        // Room left on machines that others use is used by lending them tasks.
        if demand.free && left > 0 {
            for other in seen.parts.keys().filter(|p| **p != part) {
                let before = left;
                left = fill(&mut bins, left, demand, &need, |b| {
                    b.part == Some(*other) && b.up && own(b)
                });
                if left < before {
                    let lent = Demand {
                        count: before - left,
                        ..demand.clone()
                    };
                    actions.push(Action::Lend(part, *other, Box::new(lent)));
                }
            }
        }
        // What lower ranks hold yields, here or in another part.
        left = press(&mut bins, left, demand, &need, |b| {
            b.part == Some(part) && b.up && own(b)
        });
        if demand.free && left > 0 {
            for other in seen.parts.keys().filter(|p| **p != part) {
                let before = left;
                left = press(&mut bins, left, demand, &need, |b| {
                    b.part == Some(*other) && b.up && own(b)
                });
                if left < before {
                    let lent = Demand {
                        count: before - left,
                        ..demand.clone()
                    };
                    actions.push(Action::Lend(part, *other, Box::new(lent)));
                }
            }
        }
        // Machines on their way come after all that is up: some never arrive. Those
        // that another part has just adopted are moved or lent to in a moment.
        left = fill(&mut bins, left, demand, &need, |b| {
            own(b) && (b.is_of(part) || demand.free && !b.up)
        });
        left = queue_up(config, &mut bins, left, demand, &need, own);
        lacking |= left > 0 && avoid.is_empty();
        // The rest is rented.
        let mut guard = 0;
        let mut all = if left > 0 && demand.spot {
            slots(&bins, demand, &need)
        } else {
            0.0
        };
        while left > 0 && guard < MAX_HIRE {
            guard += 1;
            let chosen = cheapest(config, memory, demand, &need, &avoid, now, &hires);
            let Some((kind, flavor)) = chosen else {
                break;
            };
            // Spot machines are to be had no more. What runs now will have
            // made room before a dearer machine is up, unless much waits.
            if demand.spot && !kind.spot {
                let patience = flavor.boot_s.0 * config.policy.overflow;
                if queued_s(&queued, demand, flavor) <= patience * all {
                    break;
                }
            }
            let mut bin = [Bin::fresh(None, kind.clone(), flavor)];
            all += slots(&bin, demand, &need);
            // All before it are as full as they get.
            left = fill(&mut bin, left, demand, &need, |_| true);
            left = queue_up(config, &mut bin, left, demand, &need, |_| true);
            bins.extend(bin);
            *hires.entry(kind).or_insert(0) += 1;
        }
    }
    // What runs on machines that others wait for, or are about to, ends there and
    // comes again: it gets machines of its own.
    let displaced = seen.parts.values().flat_map(|p| &p.displaced);
    for demand in displaced.filter(|_| lacking) {
        let need = need(demand);
        let avoid = avoids(memory, demand);
        if avoid.is_empty() {
            continue;
        }
        let own = |b: &Bin| !avoid.contains(&b.kind.flavor);
        let mut left = fill(&mut bins, demand.count, demand, &need, own);
        left = queue_up(config, &mut bins, left, demand, &need, own);
        let mut guard = 0;
        while left > 0 && guard < MAX_HIRE {
            guard += 1;
            let chosen = cheapest(config, memory, demand, &need, &avoid, now, &hires);
            let Some((kind, flavor)) = chosen else { break };
            if avoid.contains(&kind.flavor) || kind.spot != demand.spot {
                break;
            }
            let mut bin = [Bin::fresh(None, kind.clone(), flavor)];
            left = fill(&mut bin, left, demand, &need, |_| true);
            bins.extend(bin);
            *hires.entry(kind).or_insert(0) += 1;
        }
    }
    for demand in reserves(config, seen) {
        let need = need(&demand);
        let mut left = fill(&mut bins, demand.count, &demand, &need, |_| true);
        left = press(&mut bins, left, &demand, &need, |_| true);
        let mut guard = 0;
        while left > 0 && guard < 50 {
            guard += 1;
            let avoid = avoids(memory, &demand);
            let chosen = cheapest(config, memory, &demand, &need, &avoid, now, &hires);
            let Some((kind, flavor)) = chosen else {
                break;
            };
            let mut bin = [Bin::fresh(None, kind.clone(), flavor)];
            left = fill(&mut bin, left, &demand, &need, |_| true);
            bins.extend(bin);
            *hires.entry(kind).or_insert(0) += 1;
        }
    }
    for (kind, count) in hires {
        actions.push(Action::Hire(kind, count));
    }
    if seen.hold {
        memory.draining.clear();
    } else {
        actions.extend(drain(config, memory, &bins));
        actions.extend(retire(config, memory, &bins, &digests));
    }
    actions
}

/// Room kept for the next service job: the largest seen in any part, by shape.
fn reserves(config: &Config, seen: &Seen<'_>) -> Vec<Demand> {
    let mut all: Vec<Demand> = Vec::new();
    for item in seen.parts.values().flat_map(|p| &p.reserve) {
        let same = all.iter_mut().find(|d| {
            (d.cpus, d.gpus, d.memory_gb) == (item.cpus, item.gpus, item.memory_gb)
                && (&d.types, &d.zones) == (&item.types, &item.zones)
                && (d.spot, d.rank) == (item.spot, item.rank)
        });
        match same {
            Some(d) => d.count = d.count.max(item.count),
            None => all.push(item.clone()),
        }
    }
    for d in &mut all {
        d.count = (f64::from(d.count) * config.policy.reserve_jobs).ceil() as u32;
    }
    all
}

/// Whether a machine is in the zone that a part's machines are in. What can be
/// lent goes to the machine instead, so that a cut around a zone leaves its
/// machines with the owner in it.
fn near(config: &Config, part: PartId, bin: &Bin) -> bool {
    config.zone_of(part).is_none_or(|z| z == bin.kind.zone)
}

/// Tasks of one shape that all machines together run at a time, beside work
/// bound to ordinary machines.
fn slots(bins: &[Bin], demand: &Demand, need: &Room) -> f64 {
    bins.iter()
        .filter(|b| allows(demand, &b.kind))
        .map(|b| f64::from(b.whole.times(need)) * (1.0 - b.pinned).max(0.0))
        .sum()
}

/// Takes from a demand's waiting tasks those that machines which are up, or on
/// their way, begin one after the other before yet another would be up: tasks that
/// run for less than a boot. What is left over.
fn queue_up(
    config: &Config,
    bins: &mut [Bin],
    mut left: u32,
    demand: &Demand,
    need: &Room,
    of: impl Fn(&Bin) -> bool,
) -> u32 {
    if demand.work_s <= 0.0 {
        return left;
    }
    for bin in bins.iter_mut().filter(|b| of(b)) {
        if left == 0 {
            break;
        }
        let boot = config
            .flavors
            .get(&bin.kind.flavor)
            .map_or(0.0, |f| f.boot_s.0);
        let turns = boot / demand.work_s - 1.0;
        if turns <= 0.0 || !allows(demand, &bin.kind) {
            continue;
        }
        let all = f64::from(bin.whole.times(need)) * (1.0 - bin.pinned).max(0.0) * turns;
        let n = ((all * (1.0 - bin.queued)) as u32).min(left);
        if n > 0 {
            bin.queued += f64::from(n) / all;
            left -= n;
        }
    }
    left
}

/// Seconds of work that wait for spot machines, in slots of a demand's size on a
/// machine type that they may go to as well.
fn queued_s(queued: &[&Demand], demand: &Demand, flavor: &Flavor) -> f64 {
    let whole = Room::of_flavor(flavor);
    let share = |d: &Demand| need(d).share_of(&whole);
    let one = share(demand).max(1e-6);
    let may = |d: &&&Demand| {
        let allowed = d.types.as_ref().is_none_or(|t| t.contains(&flavor.label));
        d.spot && allowed && whole.fits(&need(d))
    };
    let queued = queued.iter().filter(may);
    queued
        .map(|d| f64::from(d.count) * d.work_s * share(d) / one)
        .sum()
}

/// Fills free room with a demand; what is left over.
fn fill(
    bins: &mut [Bin],
    left: u32,
    demand: &Demand,
    need: &Room,
    of: impl Fn(&Bin) -> bool,
) -> u32 {
    put(bins, left, demand, need, of, |b| b.free)
}

/// Fills room that lower ranks hold with a demand; what is left over.
fn press(
    bins: &mut [Bin],
    left: u32,
    demand: &Demand,
    need: &Room,
    of: impl Fn(&Bin) -> bool,
) -> u32 {
    put(bins, left, demand, need, of, |b| b.yields(demand.rank))
}

/// Puts a demand's tasks into the bins' room, in their order.
fn put(
    bins: &mut [Bin],
    mut left: u32,
    demand: &Demand,
    need: &Room,
    of: impl Fn(&Bin) -> bool,
    room: impl Fn(&Bin) -> Room,
) -> u32 {
    for bin in bins.iter_mut() {
        if left == 0 {
            break;
        }
        if !of(bin) {
            continue;
        }
        let room = room(bin);
        // Most are full, which is quicker to see than what is allowed there.
        if !room.fits(need) || !allows(demand, &bin.kind) {
            continue;
        }
        let n = room.times(need).min(left);
        for _ in 0..n {
            bin.free -= *need;
        }
        // Room on machines that are still to come yields too: without that,
        // one more was rented in each round for the next service job as long
        // as any array work waited.
        if n > 0 {
            let mut sum = Room::default();
            for _ in 0..n {
                sum += *need;
            }
            bin.held.push((demand.rank, sum));
        }
        bin.taken += n;
        left -= n;
    }
    left
}

/// The kind that costs least for a demand and is not backed off.
fn cheapest<'a>(
    config: &'a Config,
    memory: &Memory,
    demand: &Demand,
    need: &Room,
    avoid: &Types,
    now: Moment,
    hires: &BTreeMap<Kind, u32>,
) -> Option<(Kind, &'a Flavor)> {
    let mut best: Option<(f64, Kind, &Flavor)> = None;
    for flavor in config.flavors.values() {
        let whole = Room::of_flavor(flavor);
        let tasks = whole.times(need).min(demand.count.max(1));
        if tasks == 0 {
            continue;
        }
        for zone in &flavor.zones {
            for spot in [true, false] {
                let kind = Kind {
                    flavor: flavor.label.clone(),
                    zone: zone.clone(),
                    spot,
                };
                if !allows(demand, &kind) || !memory.open(&kind, now) {
                    continue;
                }
                // A machine that it takes from those who can use no other type
                // costs them the dearer kind.
                let price = if spot && !avoid.contains(&flavor.label) {
                    flavor.spot_price.0
                } else {
                    flavor.price.0
                };
                // Equal prices: the zone with fewer rentals of this round.
                let planned = hires.get(&kind).copied().unwrap_or(0);
                if planned >= MAX_HIRE {
                    continue;
                }
                let cost = price / f64::from(tasks) * (1.0 + 0.001 * f64::from(planned));
                if best.as_ref().is_none_or(|(c, ..)| cost < *c) {
                    best = Some((cost, kind, flavor));
                }
            }
        }
    }
    best.map(|(_, kind, flavor)| (kind, flavor))
}

/// Machines beyond what the work needs are emptied, ordinary ones with the
/// least bound work first: those that hold none of it.
fn drain(config: &Config, memory: &mut Memory, bins: &[Bin]) -> Vec<Action> {
    let share = |b: &Bin| b.free.used_of(&b.whole).clamp(0.0, 1.0);
    let load: f64 = bins.iter().map(share).sum();
    let pinned: f64 = bins.iter().map(|b| b.pinned).sum();
    let spot = bins.iter().filter(|b| b.kind.spot).count() as f64;
    let grow = 1.0 + config.policy.cushion;
    let needed = (pinned * grow).max(load * grow - spot).ceil() as usize;
    let mut ordinary: Vec<&Bin> = bins
        .iter()
        .filter(|b| !b.kind.spot && b.machine.is_some())
        .collect();
    // Those that stay: most bound work first, then those not yet draining.
    let draining = |b: &Bin| {
        b.machine
            .as_ref()
            .is_some_and(|m| memory.draining.contains(m))
    };
    ordinary.sort_by(|a, b| {
        b.pinned
            .total_cmp(&a.pinned)
            .then(draining(a).cmp(&draining(b)))
            .then(share(b).total_cmp(&share(a)))
    });
    let mut by_part: BTreeMap<PartId, Vec<MachineId>> = BTreeMap::new();
    let mut now_draining = BTreeSet::new();
    for bin in ordinary.into_iter().skip(needed) {
        let empty = bin.pinned < 1e-9 && bin.taken == 0;
        if let (true, Some(machine), Some(part)) = (empty, bin.machine.clone(), bin.part) {
            now_draining.insert(machine.clone());
            by_part.entry(part).or_default().push(machine);
        }
    }
    memory.draining = now_draining;
    by_part
        .into_iter()
        .map(|(part, machines)| Action::Drain(part, machines))
        .collect()
}

/// Idle machines beyond the cushion, and unfit ones, are given back.
fn retire(
    config: &Config,
    memory: &Memory,
    bins: &[Bin],
    digests: &BTreeMap<&MachineId, (&MachineDigest, PartId)>,
) -> Vec<Action> {
    let mut actions = Vec::new();
    for (id, (digest, part)) in digests {
        if digest.unfit && digest.idle_s >= 0.0 {
            actions.push(Action::Retire((*id).clone(), *part));
        }
    }
    for spot in [false, true] {
        let in_use: f64 = bins
            .iter()
            .filter(|b| b.kind.spot == spot)
            .map(|b| 1.0 - b.free.share_of(&b.whole))
            .sum();
        let mut idle: Vec<(f64, &MachineId, PartId)> = bins
            .iter()
            .filter(|b| b.kind.spot == spot && b.taken == 0)
            .filter_map(|b| {
                let id = b.machine.as_ref()?;
                let (digest, part) = digests.get(id)?;
                let wait = if memory.draining.contains(id) {
                    config.policy.idle_s / 4.0
                } else {
                    config.policy.idle_s
                };
                (digest.idle_s >= wait).then_some((digest.idle_s, id, *part))
            })
            .collect();
        idle.sort_by(|a, b| b.0.total_cmp(&a.0));
        let keep = (in_use * config.policy.cushion).floor() as usize;
        for (_, id, part) in idle.into_iter().skip(keep) {
            actions.push(Action::Retire(id.clone(), part));
        }
    }
    actions
}

/// Machines whose workers have long not been in touch both ways: silent, or
/// deaf to answers. The longest first, one in a hundred a lease: when many are
/// so, it is a cut, which heals, and their room would be gone with them.
fn out_of_touch(config: &Config, memory: &mut Memory, seen: &Seen<'_>) -> Vec<MachineId> {
    let now = seen.now;
    if memory
        .replaced
        .is_some_and(|at| now.since(at) < config.lease)
    {
        return Vec::new();
    }
    let long = (config.lease * 4)
        .max(Duration::from_secs(60))
        .as_secs_f64();
    let mut lost: Vec<(f64, &MachineId)> = seen
        .parts
        .values()
        .filter(|p| !p.rebuilding)
        .flat_map(|p| &p.machines)
        .filter(|m| m.lost_s > long && seen.records.contains_key(&m.machine))
        .map(|m| (m.lost_s, &m.machine))
        .collect();
    lost.sort_by(|a, b| b.0.total_cmp(&a.0));
    lost.truncate(seen.records.len() / 100 + 1);
    if !lost.is_empty() {
        memory.replaced = Some(now);
    }
    lost.into_iter().map(|(_, id)| id.clone()).collect()
}

/// Machines the list shows as failed, never up, or gone. One list alone, which
/// may be stale, never decides over a machine that may still work.
fn release_dead(config: &Config, memory: &mut Memory, seen: &Seen<'_>) -> Vec<Action> {
    let now = seen.now;
    let mut actions = Vec::new();
    let mut release = |ids: Vec<MachineId>, why| {
        if !ids.is_empty() {
            actions.push(Action::Release(ids, why));
        }
    };
    let retiring = seen
        .records
        .iter()
        .filter(|(_, r)| r.retiring)
        .map(|(id, _)| id.clone())
        .collect();
    release(retiring, "retired by its part");
    release(out_of_touch(config, memory, seen), "out of touch");
    let Some(list) = seen.list else {
        return actions;
    };
    let silent: BTreeSet<&MachineId> = seen
        .parts
        .values()
        .flat_map(|p| &p.machines)
        .filter(|m| m.silent_s < 0.0 || m.silent_s > config.lease.as_secs_f64())
        .map(|m| &m.machine)
        .collect();
    let mut failed = Vec::new();
    let mut never_up = Vec::new();
    for rental in list {
        let boot = config
            .flavors
            .get(&rental.flavor)
            .map_or(60.0, |f| f.boot_s.0);
        match rental.status {
            RentalStatus::Failed => failed.push(rental.machine.clone()),
            RentalStatus::Starting
                if rental.age_s.0 > boot * 4.0 + 30.0
                    && (silent.contains(&rental.machine)
                        || !seen.records.contains_key(&rental.machine)) =>
            {
                never_up.push(rental.machine.clone());
            }
            _ => {}
        }
    }
    release(failed, "failed");
    release(never_up, "never came up");
    // Recorded machines that the lists have lacked for long, and that are
    // silent: the cloud took them.
    let listed: BTreeSet<&MachineId> = list.iter().map(|r| &r.machine).collect();
    memory
        .missed_since
        .retain(|id, _| seen.records.contains_key(id) && !listed.contains(id));
    let mut gone = Vec::new();
    for id in seen.records.keys().filter(|id| !listed.contains(id)) {
        let since = *memory.missed_since.entry(id.clone()).or_insert(now);
        let known = memory
            .first_seen
            .get(id)
            .is_some_and(|at| now.since(*at) > Duration::from_secs(30));
        if known && silent.contains(id) && now.since(since) > Duration::from_secs(20) {
            gone.push(id.clone());
        }
    }
    release(gone, "no longer listed");
    actions
}
