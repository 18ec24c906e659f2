//! Fenced orders under the weight store's rate.

mod support;

use std::time::Duration;

use ridgeworks_domain::{Ballot, NodeId};
use ridgeworks_scheduling::model_orders::{EngineRole, ModelOrder, ModelOrders, OrderLimits};
use support::{backend_name, millis};

const LIMITS: OrderLimits = OrderLimits {
    store_bytes_per_second: 1_000,
    answer_timeout: Duration::from_secs(1),
};

fn orders() -> ModelOrders {
    let epoch = Ballot {
        round: 3,
        node: NodeId(1),
    };
    ModelOrders::new(LIMITS, epoch)
}

fn load(bytes: u64) -> ModelOrder {
    ModelOrder::Load {
        model: "model".parse().unwrap(),
        bytes,
    }
}

#[test]
fn loads_start_no_faster_than_the_store_serves_them() {
    let mut orders = orders();
    for number in 0..3 {
        orders.request(backend_name(number), load(2_000));
    }
    assert_eq!(orders.due(millis(0)).len(), 1);
    assert_eq!(orders.due(millis(1_999)).len(), 0);
    assert_eq!(orders.due(millis(2_000)).len(), 1);
}

#[test]
fn an_engine_has_one_order_at_a_time_and_tokens_rise() {
    let mut orders = orders();
    let unload = ModelOrder::Unload {
        model: "model".parse().unwrap(),
    };
    orders.request(backend_name(0), unload);
    orders.request(backend_name(0), ModelOrder::SetRole(EngineRole::Prefill));
    orders.request(backend_name(0), ModelOrder::SetRole(EngineRole::Decode));
    let first = orders.due(millis(0)).remove(0);
    assert!(orders.due(millis(1)).is_empty());
    orders.answered(&backend_name(0), first.token);
    let second = orders.due(millis(2)).remove(0);
    assert!(second.token > first.token);
    assert_eq!(second.order, ModelOrder::SetRole(EngineRole::Decode));
    orders.answered(&backend_name(0), second.token);
    assert!(orders.is_idle());
}

#[test]
fn an_order_without_an_answer_is_sent_again_with_a_higher_token() {
    let mut orders = orders();
    orders.request(backend_name(0), load(500));
    let first = orders.due(millis(0)).remove(0);
    assert!(orders.due(millis(1_499)).is_empty());
    let again = orders.due(millis(1_500)).remove(0);
    assert_eq!(again.order, first.order);
    assert!(again.token > first.token);
    orders.answered(&backend_name(0), first.token);
    assert!(!orders.is_idle(), "the late answer is to the older order");
}
