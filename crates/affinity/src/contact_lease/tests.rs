//! Tests of `contact_lease.rs`.

use super::*;

#[test]
fn it_hears_for_the_silence_after_a_contact_and_not_before_one() {
    let mut contact_lease = ContactLease::new(10, false);
    assert!(!contact_lease.hears(0) && !contact_lease.sound());
    contact_lease.contact(5);
    assert!(contact_lease.hears(14) && !contact_lease.hears(15) && contact_lease.sound());
    contact_lease.contact(20);
    contact_lease.contact(18);
    assert!(contact_lease.hears(29));
    contact_lease.lose_contact();
    assert!(!contact_lease.hears(20));
}
