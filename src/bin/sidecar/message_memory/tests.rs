//! Tests of `message_memory.rs`.

use super::*;
use std::time::Duration;
use tokio::time::timeout;

/// Long enough for everything that happens at once.
const SOON: Duration = Duration::from_secs(10);
/// A moment in which nothing is expected.
const MOMENT: Duration = Duration::from_millis(20);

#[tokio::test]
async fn memory_is_reserved_in_the_order_of_asking_and_freed_with_its_reservation() {
    let share = MemoryShare::new(8 << 10);
    let first = share.reserve(6 << 10).await;
    assert_eq!(first.bytes(), 6 << 10);
    let mut second = Box::pin(share.reserve(4 << 10));
    assert!(timeout(MOMENT, second.as_mut()).await.is_err());
    // It would fit, but another one waits.
    assert!(share.try_reserve(1 << 10).is_none());
    assert_eq!(share.shortage().await, 4 << 10);
    drop(first);
    assert_eq!(
        timeout(SOON, second).await.expect("it is free").bytes(),
        4 << 10
    );
    assert!(share.try_reserve(1 << 10).is_some());
    assert!(timeout(MOMENT, share.shortage()).await.is_err());
}

#[tokio::test]
async fn who_gives_up_waiting_keeps_nothing() {
    let share = MemoryShare::new(4 << 10);
    let all = share.reserve(4 << 10).await;
    assert!(timeout(MOMENT, share.reserve(1)).await.is_err());
    drop(all);
    assert!(share.try_reserve(4 << 10).is_some());
}

// A message of more than the share would wait forever.
#[tokio::test]
async fn a_message_larger_than_the_share_takes_all_of_it() {
    let share = MemoryShare::new(4 << 10);
    let all = timeout(SOON, share.reserve(1 << 20))
        .await
        .expect("at once");
    assert_eq!(all.bytes(), 4 << 10);
    assert!(share.try_reserve(1).is_none());
    let part = all.shrunk_to(1500);
    assert_eq!(part.bytes(), 2 << 10);
    assert!(share.try_reserve(2 << 10).is_some());
}
