//! An allocator that counts the bytes in use.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Counts the live bytes of the system's allocator.
pub struct CountingAllocator;

// SAFETY: every call is forwarded to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        LIVE_BYTES.fetch_add(layout.size(), Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

/// Returns the number of bytes that are currently allocated.
pub fn live_bytes() -> usize {
    LIVE_BYTES.load(Relaxed)
}
