//! Measures the cost of the records of a witness.

use {
    crate::meter::{measure_bytes, measure_cpu, micros_per, to_f64},
    persimmoncleat::state::{
        claims::witness::{Subject, Witness},
        clock::Time,
        id::Incarnation,
    },
};

fn subject(number: usize) -> Subject {
    Subject {
        host: "host-0001".into(),
        incarnation: Incarnation(1),
        request: format!("host-0002.1796371911159120.{number:032x}").into(),
        stamp: Time::from_millis(u64::try_from(number).unwrap_or_default() / 100),
    }
}

/// Prints the cost of a record for several numbers of records.
pub fn print(sizes: &[usize]) {
    println!("witness records, per host");
    println!(
        "{:>9} {:>12} {:>12} {:>14}",
        "records", "us/permit", "us/expiry", "bytes/record"
    );

    for count in sizes {
        let subjects: Vec<Subject> = (0..*count).map(subject).collect();
        let mut witness = Witness::new("host-0001".into(), Incarnation(1), *count);
        let (((), permits), bytes) = measure_bytes(|| {
            measure_cpu(|| {
                for subject in &subjects {
                    witness.permit(subject.stamp, subject, 7);
                }
            })
        });
        let ((), expiry) = measure_cpu(|| witness.expire(Time::from_millis(1_000_000)));

        println!(
            "{count:>9} {:>12.2} {:>12.2} {:>14}",
            micros_per(permits, to_f64(*count)),
            micros_per(expiry, to_f64(*count)),
            bytes / count
        );
    }

    println!();
}
