//! Tests of `net.rs`.

use super::*;

#[test]
fn a_cut_concerns_its_zone_and_its_way_until_it_heals() {
    let net = Net::new(&Network::default());
    let passes = || [(0, 0), (0, 1), (1, 0), (1, 2)].map(|(from, to)| net.passes(from, to));
    assert_eq!(passes(), [true; 4]);
    net.cut(0, Way::Out, true);
    assert_eq!(passes(), [true, false, true, true]);
    net.cut(0, Way::In, true);
    assert_eq!(passes(), [true, false, false, true]);
    net.cut(0, Way::Out, false);
    assert_eq!(passes(), [true, true, false, true]);
    net.cut(0, Way::In, false);
    net.cut(1, Way::Both, true);
    assert_eq!(passes(), [true, false, false, false]);
}
