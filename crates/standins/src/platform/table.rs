//! Table service: the part of the DynamoDB JSON protocol that the router uses.

use {
    super::faults::Counts,
    serde_json::{Value, json},
    std::collections::BTreeMap,
};

/// Answer of the table: status and body.
pub(super) type Answer = (u16, Value);

type Key = (String, String, String);

/// Rows by table, partition key and sort key.
#[derive(Debug, Default)]
pub(super) struct Table {
    rows: BTreeMap<Key, Value>,
    pub(super) counts: Counts,
}

impl Table {
    /// Carries out one call.
    pub(super) fn call(&mut self, action: &str, body: &[u8]) -> Answer {
        self.counts.received += body.len() as u64;
        let Ok(request) = serde_json::from_slice::<Value>(body) else {
            return failure("SerializationException", "body is not JSON");
        };
        let answer = match action.rsplit('.').next() {
            Some("GetItem") => self.get(&request),
            Some("Query") => self.query(&request),
            Some("TransactWriteItems") => self.transact(&request),
            _ => None,
        };
        answer.unwrap_or_else(|| failure("ValidationException", "call is not supported"))
    }

    fn get(&mut self, request: &Value) -> Option<Answer> {
        self.counts.reads += 1;
        let key = key(&request["TableName"], &request["Key"])?;
        let answer = match self.rows.get(&key) {
            Some(row) => json!({ "Item": row }),
            None => json!({}),
        };
        Some((200, answer))
    }

    fn query(&mut self, request: &Value) -> Option<Answer> {
        self.counts.reads += 1;
        let table = request["TableName"].as_str()?;
        let pk = request["ExpressionAttributeValues"][":pk"]["S"].as_str()?;
        let first = (table.to_owned(), pk.to_owned(), String::new());
        let items: Vec<&Value> = self
            .rows
            .range(first..)
            .take_while(|((in_table, in_pk, _), _)| in_table == table && in_pk == pk)
            .map(|(_, row)| row)
            .collect();
        Some((200, json!({ "Items": items, "Count": items.len() })))
    }

    fn transact(&mut self, request: &Value) -> Option<Answer> {
        self.counts.writes += 1;
        let items = request["TransactItems"].as_array()?;
        let mut puts = Vec::new();
        let mut reasons = Vec::new();
        for item in items {
            let (action, put) = match (item.get("Put"), item.get("ConditionCheck")) {
                (Some(action), None) => (action, action.get("Item")),
                (None, Some(action)) => (action, None),
                _ => return None,
            };
            let key = key(&action["TableName"], put.unwrap_or(&action["Key"]))?;
            let code = match self.holds(&key, action)? {
                true => "None",
                false => "ConditionalCheckFailed",
            };
            reasons.push(json!({ "Code": code }));
            puts.extend(put.map(|row| (key, row.clone())));
        }
        if reasons.iter().all(|reason| reason["Code"] == "None") {
            self.rows.extend(puts);
            return Some((200, json!({})));
        }
        self.counts.refused += 1;
        let (status, mut body) = failure("TransactionCanceledException", "Transaction cancelled");
        body["CancellationReasons"] = json!(reasons);
        Some((status, body))
    }

    /// Returns whether the condition of an item holds, or `None` for an unknown condition.
    fn holds(&self, key: &Key, action: &Value) -> Option<bool> {
        let row = self.rows.get(key);
        match action["ConditionExpression"].as_str() {
            None => Some(true),
            Some("attribute_not_exists(pk)") => Some(row.is_none()),
            Some("version = :v") => {
                let wanted = action["ExpressionAttributeValues"][":v"]["N"].as_str()?;
                Some(row.is_some_and(|row| row["version"]["N"] == wanted))
            }
            Some(_) => None,
        }
    }
}

fn key(table: &Value, attributes: &Value) -> Option<Key> {
    Some((
        table.as_str()?.to_owned(),
        attributes["pk"]["S"].as_str()?.to_owned(),
        attributes["sk"]["S"].as_str()?.to_owned(),
    ))
}

fn failure(kind: &str, message: &str) -> Answer {
    let kind = format!("com.amazonaws.dynamodb.v20120810#{kind}");
    (400, json!({ "__type": kind, "message": message }))
}
