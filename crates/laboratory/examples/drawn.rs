//! Prints how policies do on drawn deployments: `make laboratory`.

use comfy_table::Table;
use ridgeworks_laboratory::policies::{Fitted, Landed, LeastRequests, Oracle, Sticky};
use ridgeworks_laboratory::{Deployment, Policy, play};

const DEPLOYMENTS: u64 = 40;
const NAMES: [&str; 6] = [
    "landed",
    "blind to failures",
    "fitted",
    "least requests",
    "sticky",
    "oracle",
];

fn policies(deployment: &Deployment) -> [Box<dyn Policy>; 6] {
    [
        Box::new(Landed::new(deployment)),
        Box::new(Landed::blind(deployment)),
        Box::new(Fitted::new(deployment)),
        Box::new(LeastRequests::new(deployment)),
        Box::new(Sticky),
        Box::new(Oracle),
    ]
}

fn main() {
    println!("Engines that work:");
    print_shares(Deployment::drawn);
    println!("One engine in six fails half to all of its requests:");
    print_shares(|seed| Deployment::drawn(seed).with_failing());
}

fn print_shares(draw: impl Fn(u64) -> Deployment) {
    let mut table = Table::new();
    let heads = ["seed", "tokens/ms", "slots", "engines", "gateways", "load"];
    table.set_header(heads.iter().chain(&NAMES));
    let mut sums = [0.0; NAMES.len()];
    for seed in 0..DEPLOYMENTS {
        let deployment = draw(seed);
        let mut row = vec![
            seed.to_string(),
            format!("{:.0}", deployment.spec.tokens_per_ms),
            deployment.spec.slots.to_string(),
            deployment.slowness.len().to_string(),
            deployment.gateways.to_string(),
            format!("{:.2}", deployment.load),
        ];
        for (sum, mut policy) in sums.iter_mut().zip(policies(&deployment)) {
            let share = play(&deployment, policy.as_mut()).share();
            *sum += share / DEPLOYMENTS as f64;
            row.push(format!("{share:.3}"));
        }
        table.add_row(row);
    }
    println!("{table}");
    for (name, mean) in NAMES.iter().zip(sums) {
        println!("{name}: {mean:.3} of the programs in time, in the mean");
    }
}
