//! Messages corrupted in every field are accepted or refused, and the process survives. (A member
//! is trusted to say what it holds; this is about bytes that nobody meant.)

use crate::faults::Faults;
use crate::world::World;
use load_balancer_coordinator::replicated_log::{Message, decode, encode};
use raft::eraftpb::MessageType;

fn bent(random: &mut fastrand::Rng, message: &Message, ids: &[u64]) -> Message {
    let mut bent = message.clone();
    for _ in 0..random.usize(1..4) {
        let near = |random: &mut fastrand::Rng, n: u64| match random.u64(0..6) {
            0 => 0,
            1 => u64::MAX,
            2 => n.saturating_add(random.u64(0..1_000)),
            _ => n.wrapping_add(random.u64(0..7)).wrapping_sub(3),
        };
        match random.u64(0..11) {
            0 => bent.term = near(random, bent.term),
            1 => bent.index = near(random, bent.index),
            2 => bent.log_term = near(random, bent.log_term),
            3 => bent.commit = near(random, bent.commit),
            4 => bent.commit_term = near(random, bent.commit_term),
            5 => bent.reject = !bent.reject,
            6 => bent.reject_hint = near(random, bent.reject_hint),
            7 => bent.from = ids[random.usize(0..ids.len())],
            8 => {
                if let Some(entry) = bent.entries.iter_mut().next() {
                    (entry.index, entry.term) =
                        (near(random, entry.index), near(random, entry.term));
                }
            }
            9 if bent.snapshot.is_some() => {
                let metadata = bent.mut_snapshot().mut_metadata();
                metadata.index = near(random, metadata.index);
                metadata.mut_conf_state().learners.push(ids[0]);
            }
            _ => {
                let kinds = [
                    MessageType::MsgAppend,
                    MessageType::MsgHeartbeat,
                    MessageType::MsgSnapshot,
                ];
                bent.msg_type = kinds[random.usize(0..kinds.len())];
            }
        }
    }
    bent
}

#[test]
fn no_corrupt_message_ends_a_coordinator() {
    let (mut tried, mut let_in) = (0, 0);
    for seed in 0..6 {
        let mut random = fastrand::Rng::with_seed(seed);
        let faults = Faults {
            loss: 50,
            repeats: 20,
            delay: 6,
            harsh: false,
        };
        let mut world = World::new(seed, 3, faults);
        for _ in 0..60 {
            world.run(10);
            let ids = world.ids();
            for bytes in world.tapped() {
                let message = decode(&bytes).expect("ours");
                let bent = bent(&mut random, &message, &ids);
                let Some(place) = ids.iter().position(|id| *id == bent.to) else {
                    continue;
                };
                tried += 1;
                let_in += u32::from(world.whisper(place, bent));
                let mut garbled = encode(&message).expect("a form");
                let at = random.usize(0..garbled.len());
                garbled[at] ^= 1 << random.u8(0..8);
                if let Ok(garbled) = decode(&garbled) {
                    world.whisper(place, garbled);
                }
            }
            // The world is false now: nobody is held to what it agrees on.
            world = World::new(seed * 1_000 + u64::from(let_in), 3, faults);
            world.run(random.u64(10..400));
        }
    }
    println!("{tried} tried, {let_in} let in");
    assert!(
        tried > 1_000 && let_in > tried / 10 && let_in < tried,
        "{tried} tried, {let_in} let in"
    );
}
