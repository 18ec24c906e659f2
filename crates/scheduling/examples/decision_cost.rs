//! Measures the time of single dispatcher decisions, and how it scales with the size of the group.
//!
//! Each size runs with fully loaded engines and a full queue: in each round an attempt ends, its slot
//! is granted again and a new call is enqueued. Prints percentiles in nanoseconds, and the slopes of
//! the 99th percentile.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{
    BackendName, CallKey, Cost, MonotonicTime, NodeId, PartnerName, RunId, ServiceName,
};
use ridgeworks_scheduling::{
    AttemptEnd, AttemptOutcome, Dispatcher, DispatcherSettings, Effect, Event, PartnerSettings,
    Priority, QueuedCall, Ticket, TokenUsage,
};

const ENGINES: u32 = 100;
const QUEUED: u64 = 10_000;
const SLOTS: u32 = 16;
const ROUNDS: u64 = 60_000;
const RUNS: u64 = 20_000;
const ROUND: Duration = Duration::from_micros(500);
const ROUNDS_BETWEEN_TICKS: u64 = 40;
const HIGHEST_NANOS: u64 = 1_000_000_000;
const LIMIT_P99_NANOS: u64 = 20_000;

struct HandlingTimes {
    enqueue: Histogram<u64>,
    end: Histogram<u64>,
    tick: Histogram<u64>,
}

impl HandlingTimes {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(HIGHEST_NANOS, 3).expect("valid bounds");
        Self {
            enqueue: histogram(),
            end: histogram(),
            tick: histogram(),
        }
    }

    fn worst_p99(&self) -> u64 {
        let kinds = [&self.enqueue, &self.end, &self.tick];
        let p99 = kinds.map(|kind| kind.value_at_quantile(0.99));
        p99.into_iter().max().unwrap_or(0)
    }
}

struct LoadGenerator {
    dispatcher: Dispatcher,
    random: ChaCha8Rng,
    now: MonotonicTime,
    next: u64,
    running: Vec<Ticket>,
}

impl LoadGenerator {
    fn new(engines: u32, queued: u64) -> Self {
        let mut load = Self {
            dispatcher: Dispatcher::new(settings(queued)),
            random: ChaCha8Rng::seed_from_u64(1),
            now: MonotonicTime::ZERO,
            next: 0,
            running: Vec::new(),
        };
        for number in 0..engines {
            let event = Event::BackendUp(backend(number));
            load.dispatcher.handle(load.now, event);
        }
        while (load.dispatcher.queued() as u64) < queued {
            let call = load.next_call();
            load.send(Event::Enqueue(call));
        }
        load
    }

    fn send(&mut self, event: Event) -> u64 {
        let start = Instant::now();
        let effects = self.dispatcher.handle(self.now, event);
        let nanos = start.elapsed().as_nanos() as u64;
        for effect in effects {
            if let Effect::Grant { ticket, .. } = effect {
                self.dispatcher
                    .handle(self.now, Event::AttemptStarted(ticket));
                self.running.push(ticket);
            }
        }
        nanos
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.random.next_u64() % bound
    }

    fn next_call(&mut self) -> QueuedCall {
        self.next += 1;
        let run = self.below(RUNS);
        let deadline = self.now + Duration::from_secs(30 + self.below(600));
        let has_deadline = self.below(2) == 0;
        QueuedCall {
            ticket: Ticket {
                owner: NodeId(run % 7),
                number: self.next,
            },
            run: RunId(u128::from(run)),
            key: CallKey::new("call").expect("valid key"),
            partner: partner(run % 2),
            priority: Priority {
                urgent: self.below(100) == 0,
                rank: (run % 3) as u8,
            },
            attained_service: Cost(self.below(50_000)),
            prompt_tokens: 500 + self.below(20_000),
            max_output_tokens: 50 + self.below(500),
            inherited: None,
            deadline: has_deadline.then_some(deadline),
            preemptible: true,
            waited: Duration::ZERO,
        }
    }

    fn measure(&mut self) -> HandlingTimes {
        let mut costs = HandlingTimes::new();
        for round in 0..ROUNDS {
            self.now = self.now + ROUND;
            let ending = self.below(self.running.len() as u64) as usize;
            let ticket = self.running.swap_remove(ending);
            let end = AttemptEnd {
                ticket,
                usage: TokenUsage {
                    prompt: 10_000,
                    cached: 8_000,
                    output: 100,
                },
                outcome: AttemptOutcome::Completed,
            };
            costs
                .end
                .saturating_record(self.send(Event::AttemptEnded(end)));
            let call = self.next_call();
            costs
                .enqueue
                .saturating_record(self.send(Event::Enqueue(call)));
            if round % ROUNDS_BETWEEN_TICKS == 0 {
                costs.tick.saturating_record(self.send(Event::Tick));
            }
        }
        costs
    }
}

fn settings(queued: u64) -> DispatcherSettings {
    let partners = (0..2).map(|number| PartnerSettings {
        partner: partner(number),
        permille: 500,
        latency_weight: 50,
    });
    DispatcherSettings {
        partners: partners.collect(),
        max_queued_per_partner: queued as usize,
        attempt_timeout: Duration::from_secs(3_600),
        ..DispatcherSettings::default()
    }
}

fn partner(number: u64) -> PartnerName {
    PartnerName::new(format!("partner-{number}")).expect("valid name")
}

fn backend(number: u32) -> Backend {
    Backend {
        name: BackendName::new(format!("engine-{number}")).expect("valid name"),
        service: ServiceName::new("service").expect("valid name"),
        address: ([127, 0, 0, 1], 9000).into(),
        zone: "zone".parse().expect("valid name"),
        slots: SLOTS,
    }
}

fn report(engines: u32, queued: u64) -> f64 {
    let mut load = LoadGenerator::new(engines, queued);
    let costs = load.measure();
    let kinds = [
        ("enqueue", &costs.enqueue),
        ("end", &costs.end),
        ("tick", &costs.tick),
    ];
    for (kind, cost) in kinds {
        println!(
            "{engines:>8} {queued:>8} {kind:>8} {:>8} {:>8} {:>8}",
            cost.value_at_quantile(0.5),
            cost.value_at_quantile(0.99),
            cost.max()
        );
    }
    if engines == ENGINES && queued == QUEUED {
        let worst = costs.worst_p99();
        let verdict = if worst < LIMIT_P99_NANOS {
            "met"
        } else {
            "missed"
        };
        println!("limit of {LIMIT_P99_NANOS} ns at p99: {verdict} ({worst} ns)");
    }
    costs
        .end
        .value_at_quantile(0.99)
        .max(costs.enqueue.value_at_quantile(0.99)) as f64
}

/// Slope of the least-squares line through the points.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let joint = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let spread = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    joint.sum::<f64>() / spread.sum::<f64>()
}

fn main() {
    println!(
        "{:>8} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "engines", "queued", "event", "p50 ns", "p99 ns", "max ns"
    );
    let by_queue: Vec<_> = [1_000, 2_500, 5_000, 10_000, 20_000]
        .map(|queued| (queued as f64, report(ENGINES, queued)))
        .to_vec();
    let by_engines: Vec<_> = [10, 25, 50, 200]
        .map(|engines| (f64::from(engines), report(engines, QUEUED)))
        .to_vec();
    println!("slope: {:.3} ns at p99 per queued call", slope(&by_queue));
    println!("slope: {:.1} ns at p99 per engine", slope(&by_engines));
}
