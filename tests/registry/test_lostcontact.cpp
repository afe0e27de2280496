#include "registry/lostcontact.h"

#include <gtest/gtest.h>

using namespace cassiaroad;

// Guards against questions during each election, and against a member that asks only once.
TEST(LostContact, isDueEachSecondAfterTwoSecondsWithoutALeader)
{
    LostContact contact;
    EXPECT_FALSE(contact.isDue(false, { 5000 }));
    EXPECT_FALSE(contact.isDue(false, { 6999 }));
    EXPECT_TRUE(contact.isDue(false, { 7000 }));
    EXPECT_FALSE(contact.isDue(false, { 7999 }));
    EXPECT_TRUE(contact.isDue(false, { 8000 }));
    EXPECT_FALSE(contact.isDue(true, { 9000 }));
    EXPECT_FALSE(contact.isDue(false, { 9100 }));
    EXPECT_TRUE(contact.isDue(false, { 11100 }));
}
