//! Tests of `head_allowance.rs`.

use super::*;
use std::future::poll_fn;
use std::task::Waker;

const MAX_HEAD_BYTES: usize = 32 << 10;

async fn limit(allowance: &mut HeadAllowance) -> io::Result<usize> {
    poll_fn(|cx| allowance.poll_limit(cx)).await
}

/// Reads what is free.
async fn read_free_bytes(allowance: &mut HeadAllowance) {
    for _ in 0..FREE_HEAD_BYTES / READ_CHUNK_BYTES {
        let length = limit(allowance).await.expect("it is free");
        allowance.record_read(length);
    }
}

#[tokio::test]
async fn a_long_head_is_read_on_once_memory_is_reserved_for_it() {
    let share = MemoryShare::new(BUFFER_GROWTH * MAX_HEAD_BYTES);
    let mut first = HeadAllowance::new(share.clone(), MAX_HEAD_BYTES);
    let mut second = HeadAllowance::new(share, MAX_HEAD_BYTES);
    for allowance in [&mut first, &mut second] {
        read_free_bytes(allowance).await;
        assert_eq!(allowance.reserved_bytes(), 0);
    }
    assert!(limit(&mut first).await.is_ok());
    assert_eq!(first.reserved_bytes(), BUFFER_GROWTH * MAX_HEAD_BYTES);
    let mut context = Context::from_waker(Waker::noop());
    assert!(second.poll_limit(&mut context).is_pending());
    first.head_completed();
    assert!(limit(&mut second).await.is_ok());
}

#[tokio::test]
async fn a_long_head_that_gets_no_memory_is_refused() {
    let share = MemoryShare::new(1);
    let _all = share.reserve(1).await;
    let mut allowance = HeadAllowance::new(share, MAX_HEAD_BYTES);
    read_free_bytes(&mut allowance).await;
    assert!(limit(&mut allowance).await.is_err() && allowance.was_refused());
}

// The body that follows is counted by its message.
#[tokio::test]
async fn what_follows_a_head_is_no_part_of_it() {
    let share = MemoryShare::new(1);
    let _all = share.reserve(1).await;
    let mut allowance = HeadAllowance::new(share, MAX_HEAD_BYTES);
    for _ in 0..3 {
        allowance.expect_head();
        read_free_bytes(&mut allowance).await;
        allowance.head_completed();
        for _ in 0..10 {
            let length = limit(&mut allowance).await.expect("a body is read");
            allowance.record_read(length);
        }
    }
}
