#include "store/journal.hpp"
#include "support/fake_store.hpp"

#include <gtest/gtest.h>

#include <memory>

/// What a journal does when tries fail in a row, when its lease is lost, and when much is added.
namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class journal_faults : public testing::Test
{
protected:
    journal_faults()
    {
        rows = store.port("vm");
        rows.commit = [this, direct = rows.commit](
                          store::transaction sent,
                          const std::function<void(store::commit_reply)>& handler) {
            std::size_t bytes = 0;
            for (const auto& put : sent.puts) {
                bytes += put.value.size();
            }
            largest_bytes = std::max(largest_bytes, bytes);
            largest_entries = std::max(largest_entries, sent.expected.size() + sent.puts.size() +
                                                            sent.removes.size());
            direct(std::move(sent), handler);
        };
        store.put(store::lease_row("p"), store::encode(record));
        store::journal_options options;
        options.part = "p";
        options.max_bytes = 10'000;
        store::journal::events told;
        told.on_lost = [this](const store::lease_record& /*found*/) { ++losses; };
        made = std::make_unique<store::journal>(rows, time.timers(), options, record,
                                                store.find(store::lease_row("p"))->version,
                                                std::move(told));
    }

    void add(const std::string& key, std::string value = "value")
    {
        made->add({{{{"t", "p", key}, std::move(value)}}, [this] { ++durable; }});
    }

    /// Somebody else writes the lease row while the journal's first try is under way, and under the
    /// number of that try.
    void take_lease(store::lease_record taken)
    {
        taken.commit = 1;
        store.put(store::lease_row("p"), store::encode(taken));
    }

    virtual_time time{};
    fake_store store{time};
    store::row_store rows{};
    store::lease_record record{"vm", 1, "10.0.0.1:1", 1'024, 0};
    int losses = 0;
    int durable = 0;
    std::size_t largest_bytes = 0;
    std::size_t largest_entries = 0;
    std::unique_ptr<store::journal> made{};
};

TEST_F(journal_faults, ARefusedTryAfterALostAnswerDoesNotEndIt)
{
    int calls = 0;
    store.decide = [&calls](const std::string& /*vm*/, bool write) {
        calls += write ? 1 : 0;
        if (write && calls == 1) {
            return fake_store::fate::lose_answer;
        }
        return write && calls == 2 ? fake_store::fate::refuse : fake_store::fate::serve;
    };
    add("a");
    time.run_for(seconds{3});

    EXPECT_EQ(losses, 0);
    EXPECT_EQ(durable, 1);
}

TEST_F(journal_faults, ALaterTermOfTheSameVmIsNotTakenForAnOwnTry)
{
    auto later = record;
    later.epoch = 2'048;
    take_lease(later);
    add("a");
    time.run_for(seconds{1});

    EXPECT_EQ(losses, 1);
    EXPECT_EQ(durable, 0);
}

TEST_F(journal_faults, AnotherVmOfTheSameEpochIsNotTakenForAnOwnTry)
{
    auto other = record;
    other.holder = "other";
    take_lease(other);
    add("a");
    time.run_for(seconds{1});

    EXPECT_EQ(losses, 1);
    EXPECT_EQ(durable, 0);
}

TEST_F(journal_faults, NothingIsKeptOrSentAfterTheLeaseIsLost)
{
    auto other = record;
    other.holder = "other";
    take_lease(other);
    add("a");
    time.run_for(seconds{1});
    largest_entries = 0;
    add("b");
    time.run_for(seconds{5});

    EXPECT_EQ(losses, 1);
    EXPECT_EQ(largest_entries, 0U);
    EXPECT_EQ(made->backlog(), 0U);
}

TEST_F(journal_faults, WhatIsAddedAfterItIsHandedBackIsNotStored)
{
    made->hand_back({});
    add("a");
    time.run_for(seconds{1});

    EXPECT_EQ(durable, 0);
    EXPECT_FALSE(store.find({"t", "p", "a"}));
}

TEST_F(journal_faults, ATransactionCarriesNoMoreRowsThanTheStoreTakes)
{
    constexpr int count = 1'000;
    for (int number = 0; number < count; ++number) {
        add(std::to_string(number));
    }
    time.run_for(seconds{5});

    EXPECT_EQ(durable, count);
    EXPECT_LE(largest_entries, store::max_transaction_entries);
}

TEST_F(journal_faults, ATransactionCarriesNoMoreBytesThanAllowed)
{
    constexpr int count = 20;
    for (int number = 0; number < count; ++number) {
        add(std::to_string(number), std::string(2'000, 'v'));
    }
    time.run_for(seconds{5});

    EXPECT_EQ(durable, count);
    EXPECT_LE(largest_bytes, 10'200U) << "the lease row comes on top";
}

TEST_F(journal_faults, AnEntryLargerThanATransactionMayBeGoesByItself)
{
    add("small");
    add("large", std::string(20'000, 'v'));
    add("small again");
    time.run_for(seconds{5});

    EXPECT_EQ(durable, 3);
}

} // namespace
} // namespace poplarstile::tests
