#include "store/journal.hpp"
#include "store/part_map.hpp"
#include "support/fake_store.hpp"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace poplarstile::tests
{
namespace
{

using base::milliseconds;
using std::chrono::seconds;

class journal : public testing::Test
{
protected:
    journal()
    {
        rows = store.port("vm");
        store.put(store::lease_row("p"), store::encode(record));
        const auto version = store.find(store::lease_row("p"))->version;
        store::journal_options options;
        options.part = "p";
        store::journal::events told;
        told.on_lost = [this](const store::lease_record& found) { lost = found; };
        made = std::make_unique<store::journal>(rows, time.timers(), options, record, version,
                                                std::move(told));
    }

    void add(const std::string& key, const std::string& value)
    {
        made->add({{{{"t", "p", key}, value}}, [this, key] { durable.push_back(key); }});
    }

    [[nodiscard]] std::string value_of(const std::string& key) const
    {
        const auto row = store.find({"t", "p", key});
        return row ? row->value : std::string{};
    }

    virtual_time time{};
    fake_store store{time};
    store::row_store rows{};
    store::lease_record record{"vm", 1, "10.0.0.1:1", 1'024, 0};
    std::optional<store::lease_record> lost{};
    std::vector<std::string> durable{};
    std::unique_ptr<store::journal> made{};
};

TEST_F(journal, EntriesBecomeDurableInTheirOrder)
{
    add("a", "1");
    add("b", "2");
    time.run_for(milliseconds{50});

    EXPECT_EQ(durable, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(value_of("b"), "2");
}

TEST_F(journal, WhatComesWhileACommitIsUnderWayGoesWithTheNext)
{
    const auto before = store.writes();
    add("a", "1");
    time.run_for(milliseconds{2});
    for (int index = 0; index < 20; ++index) {
        add("b" + std::to_string(index), "2");
    }
    time.run_for(milliseconds{50});

    EXPECT_EQ(durable.size(), 21U);
    EXPECT_EQ(store.writes() - before, 2U);
}

TEST_F(journal, ALostAnswerIsSettledByTheNextTry)
{
    int calls = 0;
    store.decide = [&calls](const std::string& /*vm*/, bool write) {
        const bool first = write && ++calls == 1;
        return first ? fake_store::fate::lose_answer : fake_store::fate::serve;
    };
    add("a", "1");
    time.run_for(seconds{2});

    EXPECT_EQ(durable, std::vector<std::string>{"a"});
    EXPECT_FALSE(lost);
}

TEST_F(journal, ALateCommitIsDefeatedByItsSuccessor)
{
    int calls = 0;
    store.decide = [&calls](const std::string& /*vm*/, bool write) {
        const bool first = write && ++calls == 1;
        return first ? fake_store::fate::late : fake_store::fate::serve;
    };
    add("a", "old");
    time.run_for(seconds{1});
    ASSERT_EQ(durable.size(), 1U);
    add("a", "new");
    time.run_for(seconds{5});

    EXPECT_EQ(value_of("a"), "new");
    EXPECT_FALSE(lost);
}

TEST_F(journal, ARefusedCommitIsTriedAgain)
{
    bool refuse = true;
    store.decide = [&refuse](const std::string& /*vm*/, bool write) {
        return write && refuse ? fake_store::fate::refuse : fake_store::fate::serve;
    };
    add("a", "1");
    time.run_for(seconds{1});
    EXPECT_TRUE(durable.empty());

    refuse = false;
    time.run_for(seconds{1});

    EXPECT_EQ(durable.size(), 1U);
}

TEST_F(journal, AnotherHolderEndsIt)
{
    auto other = record;
    other.holder = "other";
    other.holder_born = 2;
    other.epoch = 2'048;
    store.put(store::lease_row("p"), store::encode(other));

    add("a", "1");
    time.run_for(seconds{1});

    ASSERT_TRUE(lost);
    EXPECT_EQ(lost->holder, "other");
    EXPECT_TRUE(durable.empty());
    EXPECT_TRUE(value_of("a").empty()) << "nothing is written under a lost lease";
}

TEST_F(journal, AnotherVmOfTheSameEpochAndBirthEndsIt)
{
    auto other = record;
    other.holder = "other";
    store.put(store::lease_row("p"), store::encode(other));

    add("a", "1");
    time.run_for(seconds{1});

    ASSERT_TRUE(lost);
    EXPECT_EQ(lost->holder, "other");
    EXPECT_TRUE(value_of("a").empty());
}

TEST_F(journal, TheLeaseIsRenewedWithoutEntries)
{
    const auto before = store.writes();
    time.run_for(seconds{5});

    EXPECT_GE(store.writes() - before, 4U);
    EXPECT_LE(time.now() - made->confirmed_at(), milliseconds{1'200});
}

TEST_F(journal, HandingBackComesAfterEverythingAdded)
{
    bool done = false;
    add("a", "1");
    made->hand_back([&done] { done = true; });
    time.run_for(milliseconds{100});

    ASSERT_TRUE(done);
    EXPECT_EQ(value_of("a"), "1");
    const auto row = store::decode_lease(store.find(store::lease_row("p"))->value);
    EXPECT_TRUE(row.value().holder.empty());
}

TEST(part_map, AJobHasOneHomeAndAllPartsAreUsed)
{
    const store::part_map parts{"site", 4};
    std::set<std::size_t> homes;
    for (int index = 0; index < 200; ++index) {
        const auto job = std::to_string(index);
        EXPECT_EQ(parts.home_of(job), parts.home_of(job));
        homes.insert(parts.home_of(job));
    }

    EXPECT_EQ(homes.size(), 4U);
    EXPECT_EQ(parts.index_of("site-2"), 2U);
    EXPECT_EQ(parts.index_of("elsewhere"), parts.size());
}

TEST(lease_record, TextAndBack)
{
    const store::lease_record record{"vm", 3, "10.0.0.1:1", 99, 7};

    EXPECT_EQ(store::decode_lease(store::encode(record)).value(), record);
    EXPECT_FALSE(store::decode_lease("{}").has_value());
    EXPECT_FALSE(store::decode_lease("").has_value());
}

TEST_F(journal, AValueThatIsMadeAnewIsThatOfTheTryThatIsStored)
{
    // Guards against an end of a job that waits out an outage and is stored with the time before.
    store.away_parts = {"p"};
    made->add({{{{"t", "p", "a"}, [this] { return std::to_string(time.now_ms()); }}}, {}});
    time.run_for(seconds{60});
    const auto outage_ended_ms = time.now_ms();
    store.away_parts.clear();
    time.run_for(seconds{1});

    ASSERT_NE(value_of("a"), "");
    EXPECT_GE(std::stoll(value_of("a")), outage_ended_ms);
}

} // namespace
} // namespace poplarstile::tests
