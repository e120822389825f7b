//! Which acknowledgements count, and for whom a user's request waits.

use super::*;

const NO_WAIT: Duration = Duration::ZERO;
const LONG_WAIT: Duration = Duration::from_secs(60);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(1_000_000 + ms)
}

fn job() -> JobId {
    JobId::parse("j-000001").unwrap()
}

fn members(names: &[&str]) -> BTreeSet<MemberId> {
    names.iter().map(|name| MemberId::from(*name)).collect()
}

fn requests() -> SuspensionRequests {
    SuspensionRequests::new(members(&["c-1", "c-2"]))
}

/// Sends the waiting requests to a peer at a time.
fn send(requests: &SuspensionRequests, peer: &str, ms: u64) -> (BTreeSet<JobId>, MonotonicTime) {
    requests.take(&peer.into(), || at(ms))
}

fn answer(requests: &SuspensionRequests, peer: &str, ms: u64, acknowledged: bool) {
    let (jobs, sent_at) = send(requests, peer, ms);
    requests.finish(&peer.into(), &jobs, sent_at, acknowledged);
}

#[test]
fn only_acknowledgements_that_cover_the_commit_count() {
    // (sent at, committed by, whether the acknowledgement counts)
    for (sent, committed, counts) in [(0, 0, true), (500, 0, true), (0, 1, false)] {
        let requests = requests();
        requests.request(&job(), at(0), at(0));
        answer(&requests, "c-1", sent, true);
        answer(&requests, "c-2", sent, false);
        let acknowledged = requests.wait_for_acknowledgements(&job(), at(committed), NO_WAIT);
        let expected = if counts {
            members(&["c-1"])
        } else {
            members(&[])
        };
        assert_eq!(acknowledged, expected, "{sent}, {committed}");
    }
}

#[test]
fn the_answer_to_an_earlier_request_does_not_count_for_a_later_one() {
    let requests = requests();
    requests.request(&job(), at(0), at(0));
    let (jobs, sent_at) = send(&requests, "c-1", 0);
    // The peer may be restarted before the commit.
    requests.request(&job(), at(4000), at(4000));
    requests.finish(&"c-1".into(), &jobs, sent_at, true);
    let acknowledged = requests.wait_for_acknowledgements(&job(), at(4000), NO_WAIT);
    assert_eq!(acknowledged, members(&[]));
    answer(&requests, "c-1", 4000, true);
    answer(&requests, "c-2", 4000, true);
    let acknowledged = requests.wait_for_acknowledgements(&job(), at(4000), LONG_WAIT);
    assert_eq!(acknowledged, members(&["c-1", "c-2"]));
}

#[test]
fn a_peer_that_does_not_answer_delays_no_request_for_longer_than_its_first() {
    let requests = requests();
    requests.request(&job(), at(0), at(0));
    answer(&requests, "c-1", 0, true);
    answer(&requests, "c-2", 0, false);
    // Nobody waits for `c-2`, although it is asked again.
    let began = Instant::now();
    let other = JobId::parse("j-000002").unwrap();
    for id in [job(), other] {
        requests.request(&id, at(100), at(100));
        answer(&requests, "c-1", 100, true);
        let acknowledged = requests.wait_for_acknowledgements(&id, at(100), LONG_WAIT);
        assert_eq!(acknowledged, members(&["c-1"]), "{id}");
    }
    assert!(began.elapsed() < LONG_WAIT);
    // Once it answers anything, it is waited for again.
    requests.note_responsive(&"c-2".into(), true);
    answer(&requests, "c-2", 200, true);
    let acknowledged = requests.wait_for_acknowledgements(&job(), at(100), LONG_WAIT);
    assert_eq!(acknowledged, members(&["c-1", "c-2"]));
}

#[test]
fn the_shards_of_a_cancelled_job_are_known_where_it_was_committed() {
    let requests = requests();
    assert_eq!(requests.shards(&job()), None);
    requests.request(&job(), at(0), at(0));
    let shards = BTreeSet::from([ShardId(0), ShardId(2)]);
    requests.note_shards(&job(), shards.clone());
    assert_eq!(requests.shards(&job()), Some(shards));
    // A request long afterwards drops what is no longer needed.
    let other = JobId::parse("j-000002").unwrap();
    requests.request(&other, at(60_000), at(60_000));
    assert_eq!(requests.shards(&job()), None);
}
