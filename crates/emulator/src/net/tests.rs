//! Tests of `net.rs`.

use super::*;

#[test]
fn a_partition_affects_its_zone_and_direction_until_it_heals() {
    let net = Net::new(&Network::default());
    let reachability =
        || [(0, 0), (0, 1), (1, 0), (1, 2)].map(|(from, to)| net.is_reachable(from, to));
    assert_eq!(reachability(), [true; 4]);
    net.set_partition(0, Way::Out, true);
    assert_eq!(reachability(), [true, false, true, true]);
    net.set_partition(0, Way::In, true);
    assert_eq!(reachability(), [true, false, false, true]);
    net.set_partition(0, Way::Out, false);
    assert_eq!(reachability(), [true, true, false, true]);
    net.set_partition(0, Way::In, false);
    net.set_partition(1, Way::Both, true);
    assert_eq!(reachability(), [true, false, false, false]);
}
