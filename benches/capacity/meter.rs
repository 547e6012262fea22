//! Counts, processor time and allocations.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Bytes that are allocated now.
static HELD: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator with a counter.
struct Counter;

#[allow(unsafe_code)]
// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        HELD.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        HELD.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static COUNTER: Counter = Counter;

/// Bytes that are allocated now.
pub fn held() -> usize {
    HELD.load(Ordering::Relaxed)
}

/// Processor time of this thread, which other load on the machine does not stretch.
pub fn processor() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap();
    let nanos = text.split(' ').next().unwrap().parse().unwrap();
    Duration::from_nanos(nanos)
}

/// Runs `work` and returns its processor time.
pub fn timed<T>(work: impl FnOnce() -> T) -> (T, Duration) {
    let before = processor();
    let result = work();
    (result, processor() - before)
}

/// Processor time that a repeated measurement takes; the system counts it in coarse steps.
const ENOUGH: Duration = Duration::from_millis(200);

/// Repeats `work` and returns the mean processor time.
pub fn each<T>(mut work: impl FnMut() -> T) -> Duration {
    let begun = processor();
    let mut count = 0_u32;
    loop {
        for _ in 0..10 {
            std::hint::black_box(work());
        }
        count += 10;
        let spent = processor() - begun;
        if spent >= ENOUGH {
            return spent / count;
        }
    }
}

/// One measured figure.
pub struct Figure {
    name: &'static str,
    size: usize,
    value: f64,
    unit: &'static str,
}

impl Figure {
    pub fn new(name: &'static str, size: usize, value: f64, unit: &'static str) -> Self {
        Self {
            name,
            size,
            value,
            unit,
        }
    }

    pub fn print(&self, json: bool) {
        let Self {
            name,
            size,
            value,
            unit,
        } = self;
        if json {
            let line = serde_json::json!({
                "figure": name, "size": size, "value": value, "unit": unit,
            });
            println!("{line}");
        } else {
            println!("{name:<34} {size:>6} {value:>14.3} {unit}");
        }
    }
}
