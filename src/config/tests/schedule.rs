//! Daemons that read the same stream on different schedules reach the same state.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{Stream, draw_record, record, set};
use crate::clock::Time;
use crate::config::duty;
use crate::config::record::{Body, Value, encode};
use crate::config::tail::Tail;
use crate::id;

const SECOND: Time = Duration::from_secs(1);

/// Returns whether the revisions that a daemon showed never decreased.
fn is_monotone(shown: &[id::Revision]) -> bool {
    shown.windows(2).all(|pair| pair[0] <= pair[1])
}

fn catch_up(tail: &mut Tail, stream: &Stream) {
    for _ in 0..2_000 {
        tail.apply_page(&stream.page(tail.read_offset(), 7), SECOND);
        if tail.fold().next_offset() == stream.end() {
            return;
        }
    }
    panic!("the daemon does not reach the end of the stream");
}

fn stream_of(seed: u64, records: usize) -> Stream {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut stream = Stream::default();
    for _ in 0..records {
        let body = draw_record(&mut rng, stream.end());
        stream.push(body);
    }
    stream
}

#[test]
fn schedules_reach_same_state() {
    for seed in 0..40 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut stream = Stream::default();
        let mut daemons: Vec<Tail> = (0..6).map(|_| Tail::new()).collect();
        let mut shown: Vec<Vec<id::Revision>> = vec![Vec::new(); 6];
        for _ in 0..400 {
            let index = rng.random_range(0..daemons.len());
            match rng.random_range(0..10) {
                0..=3 => {
                    let body = draw_record(&mut rng, stream.end());
                    stream.push(body);
                }
                4 => write_checkpoint(&mut stream, &daemons[index]),
                5 => trim(&mut stream, &mut rng),
                6 => {
                    daemons[index] = Tail::new();
                    shown[index].clear();
                }
                7 => pull(&mut daemons, index, &mut rng),
                _ => {
                    let limit = rng.random_range(1..9);
                    let page = stream.page(daemons[index].read_offset(), limit);
                    daemons[index].apply_page(&page, SECOND);
                }
            }
            shown[index].push(daemons[index].fold().revision());
        }
        write_checkpoint(&mut stream, &most_advanced(&daemons));
        for (tail, shown) in daemons.iter_mut().zip(&mut shown) {
            catch_up(tail, &stream);
            shown.push(tail.fold().revision());
            assert!(is_monotone(shown), "seed {seed}: {shown:?}");
            assert_eq!(tail.diverged(), None, "seed {seed}");
        }
        for tail in &daemons {
            let (ours, first) = (tail.fold(), daemons[0].fold());
            assert_eq!(
                ours.checkpoint().unwrap(),
                first.checkpoint().unwrap(),
                "seed {seed}"
            );
        }
    }
}

fn most_advanced(daemons: &[Tail]) -> Tail {
    daemons
        .iter()
        .max_by_key(|t| t.fold().next_offset())
        .unwrap()
        .clone()
}

fn write_checkpoint(stream: &mut Stream, tail: &Tail) {
    if tail.has_gap() || tail.fold().next_offset() < stream.first {
        return;
    }
    let attempt = format!("checkpoint-{}", stream.end());
    stream.append(&duty::checkpoint_record(tail.fold(), attempt, 0, "d").unwrap());
}

/// Trims as a log whose retention is longer than the period of checkpoints.
fn trim(stream: &mut Stream, rng: &mut ChaCha8Rng) {
    let newest = stream
        .records
        .iter()
        .rev()
        .filter_map(|r| serde_json::from_slice::<crate::config::record::Record>(&r.body).ok())
        .find_map(|r| match r.body {
            Body::Checkpoint(c) => Some(c.state.next),
            _ => None,
        });
    if let Some(next) = newest {
        stream.trim(rng.random_range(0..=next));
    }
}

fn pull(daemons: &mut [Tail], index: usize, rng: &mut ChaCha8Rng) {
    let from = rng.random_range(0..daemons.len());
    if daemons[from].has_gap() {
        return;
    }
    let checkpoint = daemons[from].fold().checkpoint().unwrap();
    drop(daemons[index].adopt(&checkpoint));
}

#[test]
fn restart_from_each_prefix_reaches_same_state() {
    let full = stream_of(7, 60);
    let mut reference = Tail::new();
    catch_up(&mut reference, &full);
    for cut in 0..=full.records.len() {
        let mut before = Tail::new();
        let prefix = Stream {
            first: 0,
            records: full.records[..cut].to_vec(),
        };
        catch_up(&mut before, &prefix);
        let checkpoint = before.fold().checkpoint().unwrap();
        let mut after = Tail::new();
        after.adopt(&checkpoint).unwrap();
        catch_up(&mut after, &full);
        assert_eq!(
            after.fold().checkpoint().unwrap(),
            reference.fold().checkpoint().unwrap(),
            "cut at {cut}"
        );
    }
}

#[test]
fn trimmed_log_without_checkpoint_keeps_revision() {
    let mut stream = stream_of(3, 30);
    let mut tail = Tail::new();
    tail.apply_page(&stream.page(0, 20), SECOND);
    let before = tail.fold().revision();
    stream.trim(25);
    for _ in 0..5 {
        tail.apply_page(&stream.page(tail.read_offset(), 7), SECOND);
    }
    assert!(tail.has_gap());
    assert!(!tail.is_fresh(SECOND));
    assert_eq!(tail.fold().revision(), before);
}

#[test]
fn checkpoint_racing_with_trim_is_not_used_over_a_gap() {
    let mut stream = stream_of(4, 30);
    let mut writer = Tail::new();
    writer.apply_page(&stream.page(0, 10), SECOND);
    let early = duty::checkpoint_record(writer.fold(), "early".into(), 0, "d").unwrap();
    stream.append(&early);
    stream.trim(15);
    let mut new = Tail::new();
    for _ in 0..20 {
        new.apply_page(&stream.page(new.read_offset(), 7), SECOND);
    }
    assert!(new.has_gap(), "records 10 to 14 are missing");
    assert_eq!(new.fold().revision(), 0);
    let mut reader = Tail::new();
    reader.apply_page(&stream_of(4, 30).page(0, 30), SECOND);
    catch_up(&mut reader, &stream);
    stream.append(&duty::checkpoint_record(reader.fold(), "late".into(), 0, "d").unwrap());
    catch_up(&mut new, &stream);
    assert!(!new.has_gap());
    assert_eq!(new.fold().revision(), reader.fold().revision());
}

#[test]
fn reset_log_does_not_move_state_back() {
    let stream = stream_of(5, 30);
    let mut tail = Tail::new();
    catch_up(&mut tail, &stream);
    let before = tail.fold().clone();
    let mut empty = Stream::default();
    empty.append(&record("x", set("queue-bound", None, Value::Count(1), 0)));
    tail.apply_page(&empty.page(tail.read_offset(), 7), 100 * SECOND);
    assert!(tail.is_regressed());
    assert!(!tail.is_fresh(100 * SECOND));
    assert_eq!(tail.fold(), &before);
}

#[test]
fn tail_without_reads_stops_being_fresh() {
    let stream = stream_of(6, 5);
    let mut tail = Tail::new();
    catch_up(&mut tail, &stream);
    assert!(tail.is_fresh(SECOND));
    assert!(!tail.is_fresh(11 * SECOND));
}

#[test]
fn state_of_peer_is_not_fresh_before_log_is_read() {
    let stream = stream_of(6, 5);
    let mut peer = Tail::new();
    catch_up(&mut peer, &stream);
    let mut new = Tail::new();
    new.adopt(&peer.fold().checkpoint().unwrap()).unwrap();
    assert_eq!(new.fold().revision(), peer.fold().revision());
    assert!(!new.is_fresh(SECOND));
}

#[test]
fn older_checkpoint_does_not_lower_revision() {
    assert!(!is_monotone(&[1, 4, 3]));
    let mut stream = stream_of(8, 40);
    let mut tail = Tail::new();
    tail.apply_page(&stream.page(0, 10), SECOND);
    let old = tail.fold().checkpoint().unwrap();
    catch_up(&mut tail, &stream);
    let new = tail.fold().revision();
    let unguarded = crate::config::fold::Fold::restore(&old).unwrap();
    assert!(!is_monotone(&[new, unguarded.revision()]));
    stream.push(encode(&record("n", Body::Checkpoint(old))).unwrap());
    catch_up(&mut tail, &stream);
    assert_eq!(tail.fold().revision(), new);
}

#[test]
fn delay_has_one_first_rank() {
    let live: Vec<id::Daemon> = (0..9).map(|i| format!("d{i}").into()).collect();
    for revision in [0, 64, 128, 4_096] {
        let first = live
            .iter()
            .filter(|d| duty::delay("checkpoint", revision, d, &live).is_zero());
        assert_eq!(first.count(), 1);
    }
}

#[test]
fn expiry_is_due_by_wall_clock() {
    let mut stream = Stream::default();
    let mut body = set("queue-bound", super::pool("orders"), Value::Count(1), 0);
    if let Body::Set(set) = &mut body {
        set.expires_ms = Some(5_000);
    }
    stream.append(&record("a", body));
    let mut tail = Tail::new();
    catch_up(&mut tail, &stream);
    assert!(duty::expiry_records(tail.fold(), 4_999, "d").is_empty());
    let due = duty::expiry_records(tail.fold(), 5_000, "d");
    assert_eq!(due.len(), 1);
    stream.append(&due[0]);
    stream.append(&duty::expiry_records(tail.fold(), 6_000, "e")[0]);
    catch_up(&mut tail, &stream);
    assert_eq!(tail.fold().entries().count(), 0);
    assert_eq!(
        tail.fold().revision(),
        2,
        "the second expiry changes nothing"
    );
}

#[test]
fn checkpoint_due_follows_last_writing() {
    let retention = Duration::from_secs(400);
    assert_eq!(
        duty::checkpoint_due(Some(1_000), 500_000, retention),
        101_000
    );
    assert_eq!(duty::checkpoint_due(None, 500_000, retention), 560_000);
}
