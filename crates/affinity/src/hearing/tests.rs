//! Tests of `hearing.rs`.

use super::*;

#[test]
fn it_hears_for_the_silence_after_a_contact_and_not_before_one() {
    let mut hearing = Hearing::new(10, false);
    assert!(!hearing.hears(0) && !hearing.sound());
    hearing.contact(5);
    assert!(hearing.hears(14) && !hearing.hears(15) && hearing.sound());
    hearing.contact(20);
    hearing.contact(18);
    assert!(hearing.hears(29));
    hearing.parted();
    assert!(!hearing.hears(20));
}
