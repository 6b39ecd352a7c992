//! A server wrote its answer to an order once more on a connection that it keeps open. The planner took it for the answer
//! to the next order on that connection, and each further answer for that of the order after its own.

use std::sync::atomic::Ordering;

use foxtailhill::kernel::TaskGroup;
use foxtailhill::platform::EngineClient;
use foxtailhill::relay::{EngineControl, LoadItem, OrderAnswer, OrderContext, ReplicaOrder};

use crate::relay_support::{Script, ScriptedServer};

const ACCEPTED: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
const CONFLICT: &str = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
const REPORT: &str = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 37\r\n\r\n\
                      {\"seq\":1,\"busy\":false,\"models\":[   ]}";

/// Guards against taking the answer to an earlier order, or a report, for the answer to an order.
#[tokio::test]
async fn each_order_has_its_own_connection() -> eyre::Result<()> {
    let group = TaskGroup::new();
    let scripts = [ACCEPTED, REPORT, CONFLICT, REPORT].map(|text| Script::Answer(text.into()));
    let engine = ScriptedServer::bind(&group, "i-0", scripts).await?;
    let client = EngineClient::open();
    let order = ReplicaOrder::Load(LoadItem {
        model: "drafter".into(),
        adapter: None,
    });
    let mut context = OrderContext {
        holder: "entry-1".into(),
        fence: 1,
        expected_orders: 0,
    };
    for expected in [OrderAnswer::Accepted, OrderAnswer::Conflict] {
        let answer = client
            .order("i-0", engine.address, &order, &context)
            .await?;
        assert_eq!(answer, expected);
        context.expected_orders += 1;
        let report = client.report("i-0", engine.address).await?;
        assert_eq!(report.accepted_orders, 1);
    }
    // The reports share a connection, as each one is whole in itself.
    assert_eq!(engine.connections.load(Ordering::SeqCst), 3);
    group.shutdown().await;
    Ok(())
}
