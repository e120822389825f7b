//! Workers' reports.

use crate::node::{Node, Shared};
use crate::owner::newest_term;
use pulleywood_core::ledger::Taken;
use pulleywood_net::Class;
use pulleywood_net::server::Response;
use pulleywood_net::state::Outcome;
use pulleywood_wire::record::{MachineRecord, TERM, TermRecord, machine_key, part_key};
use pulleywood_wire::state::Commit;
use pulleywood_wire::worker::{Redirect, Report, ReportAnswer};
use pulleywood_wire::{MemberId, PartId, Stamp, Term, cbor};
use std::sync::Arc;
use std::time::Duration;

/// A view older than this tells no worker where to go.
const FRESH_VIEW: Duration = Duration::from_secs(4);

/// A controller not heard of for longer is no place to send workers to.
const FRESH_PEER: Duration = Duration::from_millis(2500);

/// Where a report belongs.
enum Route {
    /// To a part held here.
    Here(PartId),
    /// To another controller.
    There(MemberId),
    /// To a part held here, once its record is written (its stamp is given).
    Record(PartId, Stamp, Stamp, Option<MachineRecord>, Term),
    /// Nobody can take it now.
    Nobody,
}

/// Answers one report.
pub fn report(shared: &Arc<Shared>, body: &[u8]) -> Response {
    let report: Report = match cbor::decode(body) {
        Ok(report) => report,
        Err(e) => {
            log::debug!("malformed report: {e}");
            return Response::status(400);
        }
    };
    // A second look follows a record that was written for the machine.
    for _ in 0..2 {
        let route = route(shared, &shared.node.lock(), &report);
        match route {
            Route::Here(part) => return answer(shared, part, &report),
            Route::There(member) => {
                return Response::cbor(
                    421,
                    &Redirect {
                        foreman: Some(member),
                    },
                );
            }
            Route::Nobody => return Response::later(503, 1),
            Route::Record(part, part_stamp, stamp, record, term) => {
                if !write_record(shared, &report, part, part_stamp, stamp, record, term) {
                    return Response::later(503, 1);
                }
            }
        }
    }
    Response::later(503, 1)
}

fn route(shared: &Shared, node: &Node, report: &Report) -> Route {
    let now = shared.clock.now();
    if !node.viewed {
        return Route::Nobody;
    }
    // A controller that is cut off knows old owners only, and an owner that
    // its peers have not heard of lately may be gone: a worker sent there
    // waits out four seconds of its lease for nothing, and comes back here.
    // Without a word it tries the next controller a second later.
    let there = |member: &MemberId| {
        let heard = node
            .digests
            .get(member)
            .is_some_and(|(_, at)| now.since(*at) < FRESH_PEER);
        match heard && now.since(node.caught_up) < FRESH_VIEW {
            true => Route::There(member.clone()),
            false => Route::Nobody,
        }
    };
    let held = |p: &PartId| node.owned.get(p).filter(|o| o.loaded && !o.leaving);
    match node.view.machines.get(&report.machine) {
        Some((record, stamp)) => {
            let part = record.part;
            if let Some(owned) = held(&part).filter(|_| node.may_answer(now)) {
                if record.endpoint.is_empty() && node.may_act(now) {
                    let record = Some(record.clone());
                    return Route::Record(part, owned.stamp, *stamp, record, Term(0));
                }
                return Route::Here(part);
            }
            match node.view.parts.get(&part) {
                Some((holder, _)) if holder.member != shared.me => there(&holder.member),
                _ => Route::Nobody,
            }
        }
        // A machine nobody knows goes to the part that its name falls on, so
        // that many at once do not all wait for one controller's tokens; or to
        // whichever owner hears it. No owner launches before the record is
        // written, so it holds no task.
        None => {
            let part = report.machine.part(node.config.parts);
            if let Some((holder, _)) = node.view.parts.get(&part)
                && holder.member != shared.me
                && let Route::There(member) = there(&holder.member)
            {
                return Route::There(member);
            }
            let free = |p: &PartId| held(p).filter(|_| node.may_act(now));
            let mine = free(&part).map(|o| (part, o)).or_else(|| {
                let all = node.owned.keys().filter_map(|p| Some((*p, free(p)?)));
                all.min_by_key(|(_, o)| o.ledger.machines.len())
            });
            if let Some((part, owned)) = mine {
                return Route::Record(part, owned.stamp, Stamp(0), None, owned.ledger.term);
            }
            let mut others = node.view.parts.values();
            match others.find(|(h, _)| h.member != shared.me) {
                Some((holder, _)) => there(&holder.member),
                None => Route::Nobody,
            }
        }
    }
}

/// Commits a machine's record with its worker's address, before its first
/// launch.
fn write_record(
    shared: &Shared,
    report: &Report,
    part: PartId,
    part_stamp: Stamp,
    stamp: Stamp,
    record: Option<MachineRecord>,
    term: Term,
) -> bool {
    let adopted = record.is_none();
    let mut commit = Commit::default();
    let mut term = term;
    if adopted && report.term >= term {
        // Its worker obeyed some owner before, or this is a late copy of a
        // report of a machine that is gone. Under a fresh term only a report
        // that answers ours shows what is on it, and no attempt repeats.
        let Ok((last, stamp)) = newest_term(shared) else {
            return false;
        };
        term = Term(last.0.max(report.term.0) + 1);
        commit = commit
            .when(TERM, stamp)
            .write(TERM, &TermRecord { last: term });
    }
    let mut record = record.unwrap_or_else(|| MachineRecord {
        part,
        term,
        flavor: report.flavor.clone(),
        zone: report.zone.clone(),
        spot: report.spot,
        endpoint: String::new(),
        retiring: false,
        images: Vec::new(),
    });
    record.endpoint.clone_from(&report.endpoint);
    let key = machine_key(&report.machine);
    let commit = commit
        .when(key.clone(), stamp)
        .when(part_key(part), part_stamp)
        .write(key, &record);
    match shared.state.commit(Class::Record, &commit) {
        Ok(Outcome::Applied(stamp)) => {
            let now = shared.clock.now();
            shared
                .node
                .lock()
                .put_machine(&report.machine, record, stamp, now);
            if adopted {
                log::info!("part {part} adopted {}", report.machine);
            }
            true
        }
        Ok(Outcome::Conflict) => false,
        Err(e) => {
            log::debug!("record of {}: {e}", report.machine);
            false
        }
    }
}

fn answer(shared: &Shared, part: PartId, report: &Report) -> Response {
    let now = shared.clock.now();
    let mut node = shared.node.lock();
    let config = Arc::clone(&node.config);
    let launch = node.may_act(now);
    let Some(owned) = node.owned.get_mut(&part) else {
        return Response::later(503, 1);
    };
    match owned.ledger.report(report, false, now, &config) {
        Taken::Fresh => {}
        // Its worker has given this report up and drops the answer, or obeys
        // another owner and is to look for it.
        Taken::Stale | Taken::Unknown | Taken::Superseded => return Response::later(503, 1),
    }
    let orders = owned.ledger.answer(&report.machine, launch, now, &config);
    let Some(machine) = owned.ledger.machines.get(&report.machine) else {
        return Response::later(503, 1);
    };
    let term = machine.term(owned.ledger.term);
    drop(node);
    if !orders.is_empty() {
        log::debug!("{}: {orders:?}", report.machine);
    }
    Response::cbor(200, &ReportAnswer { term, orders })
}
