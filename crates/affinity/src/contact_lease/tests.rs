//! Tests of `contact_lease.rs`.

use super::*;

#[test]
fn a_lease_is_valid_for_the_timeout_after_a_contact_and_not_before_one() {
    let mut contact_lease = ContactLease::new(10, false);
    assert!(!contact_lease.is_valid(0) && !contact_lease.is_trusted());
    contact_lease.renew(5);
    assert!(
        contact_lease.is_valid(14) && !contact_lease.is_valid(15) && contact_lease.is_trusted()
    );
    contact_lease.renew(20);
    contact_lease.renew(18);
    assert!(contact_lease.is_valid(29));
    contact_lease.lose_contact();
    assert!(!contact_lease.is_valid(20));
}
