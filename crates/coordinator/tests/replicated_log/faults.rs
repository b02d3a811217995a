//! Faults that are injected into a simulated cluster, and what must hold once it is healed.

use crate::book::Book;
use crate::world::World;
use load_balancer_coordinator::replicated_log::Node;
use load_balancer_record_store::disk::Disk;
use std::collections::BTreeSet;

/// What happened, so that a test can see that its faults were there.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub answered: usize,
    pub agreed: usize,
    pub crashes: usize,
    pub emptied: usize,
    pub refused_disks: usize,
    pub cuts: usize,
    pub lost_messages: usize,
    pub leaders: usize,
    pub confirmed: usize,
}

/// What a world is made of.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Messages lost, of a thousand.
    pub loss: u64,
    /// Messages repeated, of a thousand.
    pub repeats: u64,
    /// Longest way of a message, in ticks.
    pub delay: u64,
    /// Whether disks crash, fill up, are emptied and bent, and the network is cut.
    pub harsh: bool,
}

impl World {
    pub fn fault(&mut self) {
        let place = self.random.usize(0..self.slots.len());
        // One disk at a time is lost, once all know that the last loss is made good.
        let voiced = |world: &Self| {
            let nodes: Vec<_> = world.slots.iter().filter_map(|s| s.node.as_ref()).collect();
            let whole = |n: &&Node<Book>| {
                n.members().len() == nodes.len() && n.members() == nodes[0].members()
            };
            let voices = |n: &&Node<Book>| n.replica_status().voters.len() == nodes.len();
            nodes.len() == world.slots.len() && nodes.iter().all(|n| whole(n) && voices(n))
        };
        match self.random.u64(0..40) {
            0..12 => {
                self.counts.cuts += 1;
                let random = &mut self.random;
                self.side
                    .iter_mut()
                    .for_each(|side| *side = u8::from(random.bool()));
            }
            12..20 => self.side.fill(0),
            20..26 if self.slots[place].node.is_some() => self.crash(place),
            26..30 if self.slots[place].node.is_some() => {
                let writes = self.random.u64(0..200);
                self.slots[place].disk.fail_after(writes);
            }
            30 | 31 if self.voiceless.is_none() && voiced(self) => {
                self.crash(place);
                self.counts.emptied += 1;
                self.slots[place].disk = Disk::new();
                self.voiceless = Some(place);
            }
            32..36 if self.voiceless.is_none() && voiced(self) => {
                self.crash(place);
                let bit = self.random.u64(..);
                self.slots[place].disk.flip(bit);
                self.voiceless = Some(place);
                self.start(place, false);
                // The bit may have been where nothing is.
                let blank = self.slots[place]
                    .node
                    .as_ref()
                    .is_some_and(|n| n.members().is_empty());
                self.voiceless = blank.then_some(place);
            }
            _ => (0..self.slots.len()).for_each(|place| {
                if self.slots[place].node.is_none() {
                    self.start(place, false);
                }
            }),
        }
    }

    fn describe(&self) -> String {
        let nodes = self.slots.iter().map(|s| {
            s.node
                .as_ref()
                .map(|n| (n.replica_status(), n.members().clone()))
        });
        format!(
            "{:?}, voiceless {:?}",
            nodes.collect::<Vec<_>>(),
            self.voiceless
        )
    }

    /// Heals everything, and checks that all agree, and that nothing that was answered is missing.
    pub fn settle(&mut self) {
        self.faults = Faults {
            loss: 0,
            repeats: 0,
            delay: 1,
            harsh: false,
        };
        self.side.fill(0);
        for place in 0..self.slots.len() {
            if self.slots[place].node.is_some() {
                self.crash(place);
            }
            self.start(place, false);
        }
        let before = self.answered.len();
        self.run(600);
        assert!(
            self.answered.len() > before,
            "a healed world agrees on nothing: {}",
            self.describe()
        );
        let agreed = self.history.borrow().agreed.clone();
        let mut known = BTreeSet::new();
        for (_, order) in &agreed {
            assert!(known.insert(*order), "order {order} agreed on twice");
        }
        assert!(self.answered.is_subset(&known), "an answered order is lost");
        for slot in &self.slots {
            let node = slot.node.as_ref().expect("it runs");
            let behind = agreed.len() - node.machine().lines.len();
            assert!(behind <= 4, "{} lags by {behind}", slot.name);
            assert_eq!(
                node.replica_status().voters.len(),
                self.slots.len(),
                "{}",
                slot.name
            );
        }
        self.counts.answered = self.answered.len();
        self.counts.agreed = agreed.len();
        self.counts.leaders = self.leaders.len();
    }
}
