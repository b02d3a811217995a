//! Messages with corrupted fields must be accepted or rejected without ending the process. (Members
//! are trusted about their content; this guards against corruption.)

use crate::faults::FaultRates;
use crate::world::World;
use load_balancer_coordinator::replicated_log::{Message, decode, encode};
use raft::eraftpb::MessageType;

fn corrupt(random: &mut fastrand::Rng, message: &Message, ids: &[u64]) -> Message {
    let mut corrupted = message.clone();
    for _ in 0..random.usize(1..4) {
        let perturb = |random: &mut fastrand::Rng, n: u64| match random.u64(0..6) {
            0 => 0,
            1 => u64::MAX,
            2 => n.saturating_add(random.u64(0..1_000)),
            _ => n.wrapping_add(random.u64(0..7)).wrapping_sub(3),
        };
        match random.u64(0..11) {
            0 => corrupted.term = perturb(random, corrupted.term),
            1 => corrupted.index = perturb(random, corrupted.index),
            2 => corrupted.log_term = perturb(random, corrupted.log_term),
            3 => corrupted.commit = perturb(random, corrupted.commit),
            4 => corrupted.commit_term = perturb(random, corrupted.commit_term),
            5 => corrupted.reject = !corrupted.reject,
            6 => corrupted.reject_hint = perturb(random, corrupted.reject_hint),
            7 => corrupted.from = ids[random.usize(0..ids.len())],
            8 => {
                if let Some(entry) = corrupted.entries.iter_mut().next() {
                    (entry.index, entry.term) =
                        (perturb(random, entry.index), perturb(random, entry.term));
                }
            }
            9 if corrupted.snapshot.is_some() => {
                let metadata = corrupted.mut_snapshot().mut_metadata();
                metadata.index = perturb(random, metadata.index);
                metadata.mut_conf_state().learners.push(ids[0]);
            }
            _ => {
                let kinds = [
                    MessageType::MsgAppend,
                    MessageType::MsgHeartbeat,
                    MessageType::MsgSnapshot,
                ];
                corrupted.msg_type = kinds[random.usize(0..kinds.len())];
            }
        }
    }
    corrupted
}

#[test]
fn no_corrupt_message_ends_a_coordinator() {
    let (mut tried, mut accepted) = (0, 0);
    for seed in 0..6 {
        let mut random = fastrand::Rng::with_seed(seed);
        let faults = FaultRates {
            loss: 50,
            repeats: 20,
            delay: 6,
            with_faults: false,
        };
        let mut world = World::new(seed, 3, faults);
        for _ in 0..60 {
            world.run(10);
            let ids = world.ids();
            for bytes in world.in_transit_messages() {
                let message = decode(&bytes).expect("ours");
                let corrupted = corrupt(&mut random, &message, &ids);
                let Some(place) = ids.iter().position(|id| *id == corrupted.to) else {
                    continue;
                };
                tried += 1;
                accepted += u32::from(world.deliver_directly(place, corrupted));
                let mut bit_flipped = encode(&message).expect("a form");
                let at = random.usize(0..bit_flipped.len());
                bit_flipped[at] ^= 1 << random.u8(0..8);
                if let Ok(message) = decode(&bit_flipped) {
                    world.deliver_directly(place, message);
                }
            }
            // Start again with a new cluster, because the invariants no longer apply to this one.
            world = World::new(seed * 1_000 + u64::from(accepted), 3, faults);
            world.run(random.u64(10..400));
        }
    }
    println!("{tried} tried, {accepted} accepted");
    assert!(
        tried > 1_000 && accepted > tried / 10 && accepted < tried,
        "{tried} tried, {accepted} accepted"
    );
}
