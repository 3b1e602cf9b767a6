// Messages between the VMs of one site, in Thrift's compact protocol, one envelope per HTTP body.
// Fields are only ever added, with new numbers, so that VMs of two versions understand each other.
namespace cpp poplarstile.cluster.gen

struct vm_entry {
  1: string vm
  2: i64 born
  3: string address
  4: string failure_domain
  5: i32 processor_millis
  6: i32 link_kbit
}

struct job_change {
  1: string job
  2: string queue
  3: string workspace
  4: i32 status
}

struct queue_shortage {
  1: i32 wait_ms
  2: i32 in_time_wait_ms
  3: list<string> at_fair_share
  4: i32 late_permille
}

struct queue_load {
  1: string queue
  2: i32 waiting
  3: i32 retry_after_s
  4: optional queue_shortage shortage
}

struct leader_beat {
  1: vm_entry leader
  2: i64 epoch
  3: i64 sequence
  4: bool snapshot
  5: list<job_change> changes
  6: list<queue_load> loads
  7: i64 configuration
  8: i32 confirmed_ms_ago
  9: list<vm_entry> vms
  10: bool vacant
  11: i32 configuration_ms_ago
  12: string successor
  13: i64 lease_version
  14: i32 lease_part
  15: bool partial
  16: i64 vms_base
  17: i64 vms_version
  18: list<string> vms_removed
}

struct beat_answer {
  1: vm_entry from_vm
  2: i64 epoch
  3: bool wants_snapshot
  4: i64 configuration
  5: bool leaving
  6: i64 vms_version
}

struct hello {
  1: vm_entry from_vm
}

struct hello_answer {
  1: vm_entry from_vm
  2: vm_entry leader
  3: i64 epoch
  4: i32 leader_heard_ms_ago
  5: list<vm_entry> vms
  6: i64 configuration
}

struct configuration_request {
  1: i64 have
}

struct configuration_reply {
  1: i64 version
  2: string document
  3: i32 confirmed_ms_ago
}

struct store_call {
  1: string method
  2: string target
  3: string body
  4: i32 wait_ms
  5: string scope
}

struct store_answer {
  1: i32 delivery
  2: i32 status
  3: string body
}

struct stored_row {
  1: string key
  2: string value
  3: i64 version
  4: string part
}

struct doubtful_job {
  1: string job
}

union message {
  1: leader_beat beat
  2: beat_answer beat_reply
  3: hello hello_message
  4: hello_answer hello_reply
  5: configuration_request configuration_ask
  6: configuration_reply configuration_given
  7: store_call store_ask
  8: store_answer store_given
  9: stored_row row_stored
  10: doubtful_job job_in_doubt
}

struct envelope {
  1: i32 version
  2: message body
}
