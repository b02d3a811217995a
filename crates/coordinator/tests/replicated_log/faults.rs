//! Fault injection in a simulated cluster, and the checks after it has healed.

use crate::book::RecordingMachine;
use crate::world::World;
use load_balancer_coordinator::replicated_log::Node;
use load_balancer_record_store::disk::Disk;
use std::collections::BTreeSet;

/// Counts of events, to check that the faults occurred.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub answered: usize,
    pub committed: usize,
    pub crashes: usize,
    pub emptied: usize,
    pub refused_disks: usize,
    pub partitions: usize,
    pub lost_messages: usize,
    pub leaders: usize,
    pub confirmed: usize,
}

/// Rates of injected faults.
#[derive(Clone, Copy)]
pub struct FaultRates {
    /// Lost messages per thousand.
    pub loss: u64,
    /// Repeated messages per thousand.
    pub repeats: u64,
    /// Maximum delay of a message in ticks.
    pub delay: u64,
    /// Whether disks crash, fill up, are emptied or corrupted, and the network is partitioned.
    pub with_faults: bool,
}

impl World {
    pub fn inject_fault(&mut self) {
        let place = self.random.usize(0..self.hosts.len());
        // At most one disk is lost at a time, after all coordinators have recovered from the last
        // loss.
        let all_have_votes = |world: &Self| {
            let nodes: Vec<_> = world.hosts.iter().filter_map(|s| s.node.as_ref()).collect();
            let knows_all = |n: &&Node<RecordingMachine>| {
                n.members().len() == nodes.len() && n.members() == nodes[0].members()
            };
            let knows_all_voters =
                |n: &&Node<RecordingMachine>| n.replica_status().voters.len() == nodes.len();
            nodes.len() == world.hosts.len()
                && nodes.iter().all(|n| knows_all(n) && knows_all_voters(n))
        };
        match self.random.u64(0..40) {
            0..12 => {
                self.counts.partitions += 1;
                let random = &mut self.random;
                self.partition
                    .iter_mut()
                    .for_each(|side| *side = u8::from(random.bool()));
            }
            12..20 => self.partition.fill(0),
            20..26 if self.hosts[place].node.is_some() => self.crash(place),
            26..30 if self.hosts[place].node.is_some() => {
                let writes = self.random.u64(0..200);
                self.hosts[place].disk.fail_after(writes);
            }
            30 | 31 if self.host_without_vote.is_none() && all_have_votes(self) => {
                self.crash(place);
                self.counts.emptied += 1;
                self.hosts[place].disk = Disk::new();
                self.host_without_vote = Some(place);
            }
            32..36 if self.host_without_vote.is_none() && all_have_votes(self) => {
                self.crash(place);
                let bit = self.random.u64(..);
                self.hosts[place].disk.flip_bit(bit);
                self.host_without_vote = Some(place);
                self.start(place, false);
                // The flipped bit may be unused.
                let is_blank = self.hosts[place]
                    .node
                    .as_ref()
                    .is_some_and(|n| n.members().is_empty());
                self.host_without_vote = is_blank.then_some(place);
            }
            _ => (0..self.hosts.len()).for_each(|place| {
                if self.hosts[place].node.is_none() {
                    self.start(place, false);
                }
            }),
        }
    }

    fn describe(&self) -> String {
        let nodes = self.hosts.iter().map(|s| {
            s.node
                .as_ref()
                .map(|n| (n.replica_status(), n.members().clone()))
        });
        format!(
            "{:?}, voiceless {:?}",
            nodes.collect::<Vec<_>>(),
            self.host_without_vote
        )
    }

    /// Heals all faults, and checks that all replicas agree and no answered order is missing.
    pub fn settle(&mut self) {
        self.faults = FaultRates {
            loss: 0,
            repeats: 0,
            delay: 1,
            with_faults: false,
        };
        self.partition.fill(0);
        for place in 0..self.hosts.len() {
            if self.hosts[place].node.is_some() {
                self.crash(place);
            }
            self.start(place, false);
        }
        let before = self.answered.len();
        self.run(600);
        assert!(
            self.answered.len() > before,
            "nothing is committed after healing: {}",
            self.describe()
        );
        let agreed = self.history.borrow().committed.clone();
        let mut known = BTreeSet::new();
        for (_, order) in &agreed {
            assert!(known.insert(*order), "order {order} was committed twice");
        }
        assert!(
            self.answered.is_subset(&known),
            "an answered order was lost"
        );
        for slot in &self.hosts {
            let node = slot.node.as_ref().expect("it runs");
            let behind = agreed.len() - node.machine().orders.len();
            assert!(behind <= 4, "{} lags by {behind}", slot.name);
            assert_eq!(
                node.replica_status().voters.len(),
                self.hosts.len(),
                "{}",
                slot.name
            );
        }
        self.counts.answered = self.answered.len();
        self.counts.committed = agreed.len();
        self.counts.leaders = self.leaders.len();
    }
}
