// Messages between the VMs, in Thrift's compact protocol, one envelope per HTTP body.
// Fields are only ever added, with new numbers, so that VMs of two versions understand each other.
namespace cpp poplarstile.peer.gen

struct member_update {
  1: string vm
  2: string failure_domain
  3: string address
  4: i32 state
  5: i64 incarnation
  6: i64 rules_version
  7: string reporter
}

struct lease_view {
  1: string failure_domain
  2: string holder
  3: i64 epoch
}

struct gossip {
  1: string from_vm
  2: i64 incarnation
  3: i64 hlc
  4: i64 rules_version
  5: list<member_update> updates
  6: list<lease_view> leases
}

struct ping {
  1: i64 probe
  2: string target
  3: gossip header
}

struct ping_ack {
  1: i64 probe
  2: string target
  3: gossip header
}

struct ping_request {
  1: i64 probe
  2: string target
  3: gossip header
}

struct rules_request {
  1: string from_vm
  2: i64 after_version
}

struct rules_reply {
  1: i64 from_version
  2: i64 to_version
  3: list<string> entries
  4: string snapshot
}

struct leave {
  1: string vm
  2: i64 incarnation
}

struct scheduler_forward {
  1: i32 kind
  2: string from_vm
  3: string payload
}

struct scheduler_answer {
  1: i32 status
  2: string payload
}

struct worker_load {
  1: string worker
  2: i32 in_flight
}

struct load_report {
  1: string from_vm
  2: list<worker_load> workers
}

struct members_request {
  1: string from_vm
  2: string after_vm
}

struct members_reply {
  1: string from_vm
  2: list<member_update> updates
  3: bool more
}

union message {
  1: ping ping_message
  2: ping_ack ping_ack_message
  3: ping_request ping_request_message
  4: rules_request rules_request_message
  5: rules_reply rules_reply_message
  6: leave leave_message
  7: scheduler_forward scheduler_forward_message
  8: scheduler_answer scheduler_answer_message
  9: load_report load_report_message
  10: members_request members_request_message
  11: members_reply members_reply_message
}

struct envelope {
  1: i32 version
  2: message body
}
