//! Bodies share the memory of a host: one without end must not take that of others,
//! and short ones never wait.

use {
    futures::FutureExt,
    persimmoncleat::transport::http::memory::{Collector, Exhausted, Memory},
};

const BLOCK: usize = 64 * 1024;

/// Appends blocks until the body has to wait, and returns how many it took.
fn fill(body: &mut Collector) -> usize {
    let taken = (0..).take_while(|_| body.push(&[0; BLOCK]).now_or_never() == Some(Ok(())));
    taken.count()
}

#[test]
fn largest_incomplete_body_fails_when_the_memory_is_used_up() {
    let memory = Memory::new(8 * BLOCK);
    let mut small = memory.begin();
    small.push(&[0; BLOCK]).now_or_never().unwrap().unwrap();
    let mut large = memory.begin();
    assert_eq!(fill(&mut large), 7);
    assert_eq!(large.push(&[0]).now_or_never(), Some(Err(Exhausted)));
    drop(large);
    assert_eq!(small.push(&[0; BLOCK]).now_or_never(), Some(Ok(())));
}

#[test]
fn smaller_body_waits_until_the_largest_has_failed() {
    let memory = Memory::new(8 * BLOCK);
    let mut small = memory.begin();
    small.push(&[0; BLOCK]).now_or_never().unwrap().unwrap();
    let mut large = memory.begin();
    fill(&mut large);
    assert_eq!(small.push(&[0; BLOCK]).now_or_never(), None);
    assert_eq!(large.failed().now_or_never(), Some(()));
    drop(large);
    assert_eq!(small.push(&[0; BLOCK]).now_or_never(), Some(Ok(())));
}

/// Complete answers are written to their callers, which frees their memory.
#[test]
fn body_waits_for_the_memory_of_complete_ones() {
    let memory = Memory::new(8 * BLOCK);
    let mut complete = memory.begin();
    fill(&mut complete);
    let mut blocks = complete.finish();
    let mut body = memory.begin();
    body.push(&[0]).now_or_never().unwrap().unwrap();
    assert_eq!(body.push(&[0]).now_or_never(), None);
    blocks.clear();
    assert_eq!(body.push(&[0]).now_or_never(), Some(Ok(())));
}

#[test]
fn short_body_does_not_wait() {
    let memory = Memory::new(8 * BLOCK);
    let mut large = memory.begin();
    fill(&mut large);
    let mut short = memory.begin();
    assert_eq!(short.push(&[0; 800]).now_or_never(), Some(Ok(())));
    assert_eq!(short.try_push(&[0; BLOCK]), Err(Exhausted));
}

#[test]
fn all_memory_is_free_after_all_bodies_are_gone() {
    let memory = Memory::new(8 * BLOCK);
    let mut whole = memory.begin();
    whole.try_push(&[1; 2 * BLOCK]).unwrap();
    let mut blocks = memory.begin();
    blocks.try_push(&[2; 2 * BLOCK]).unwrap();
    let mut incomplete = memory.begin();
    incomplete.try_push(&[3; 2 * BLOCK]).unwrap();
    let (whole, blocks) = (whole.finish_whole(), blocks.finish());
    assert_eq!(whole, vec![1; 2 * BLOCK]);
    assert_eq!(blocks.concat(), vec![2; 2 * BLOCK]);
    assert!(memory.held() >= 6 * BLOCK);
    drop((whole, blocks, incomplete));
    assert_eq!(memory.held(), 0);
}
