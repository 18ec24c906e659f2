//! Memory that all requests of a gateway share.

use quickcheck::quickcheck;
use ridgeworks_gateway::MemoryBudget;

const MAX: usize = 1_000;

#[test]
fn one_that_is_alone_may_take_half() {
    let budget = MemoryBudget::new(MAX);
    let mut reservation = budget.reservation();
    assert!(reservation.resize_within_fair_share(MAX / 2).is_ok());
    assert!(reservation.resize_within_fair_share(MAX / 2 + 1).is_err());
    assert_eq!(budget.taken(), MAX / 2);
    drop(reservation);
    assert_eq!(budget.taken(), 0);
}

/// However many grow without end, a small one still fits.
#[test]
fn those_that_grow_without_end_leave_room_for_small_ones() {
    let budget = MemoryBudget::new(MAX);
    let mut growing: Vec<_> = (0..9).map(|_| budget.reservation()).collect();
    for bytes in 1..MAX {
        for reservation in &mut growing {
            let _ = reservation.resize_within_fair_share(bytes);
        }
    }
    assert_eq!(budget.taken(), 9 * MAX / 10);
    let mut small = budget.reservation();
    assert!(small.resize_within_fair_share(MAX / 20).is_ok());
}

quickcheck! {
    fn what_is_taken_is_the_sum_and_within_the_limit(steps: Vec<(u8, u16, bool)>) -> bool {
        const RESERVATIONS: usize = 4;
        let budget = MemoryBudget::new(MAX);
        let mut reservations: Vec<_> = (0..RESERVATIONS).map(|_| budget.reservation()).collect();
        let mut expected = [0; RESERVATIONS];
        for (number, bytes, resizes) in steps {
            let number = usize::from(number) % RESERVATIONS;
            let bytes = usize::from(bytes) % MAX;
            let reservation = &mut reservations[number];
            if resizes {
                if reservation.resize_within_fair_share(bytes).is_ok() {
                    expected[number] = bytes;
                }
            } else if reservation.grow(bytes).is_ok() {
                expected[number] += bytes;
            }
            if budget.taken() != expected.iter().sum::<usize>() || budget.taken() > MAX {
                return false;
            }
        }
        drop(reservations);
        budget.taken() == 0
    }
}
