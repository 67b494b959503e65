/** Compares what callers saw with the stand-ins' own records. */
import { expectedAnswer } from "../../src/stand-ins/backend-server/index.js";
import type { StandInFleet } from "../../src/stand-ins/fleet/stand-in-fleet.js";
import type { RunningRouter } from "../support/fleet-of-routers.js";
import type { SeenBooking, SeenChat } from "./callers.js";

const okStatus = 200;
const createdStatus = 201;

/** Faults found, by kind; every one must be 0. */
export interface Accounting {
    /** Answers that are not whole or not the caller's own. */
    readonly wrongAnswers: number;
    /** Idempotent work that was reported as unknown. */
    readonly unknownChats: number;
    /** Requests reported as not run that did run. */
    readonly falseNotRun: number;
    readonly bookingsRunTwice: number;
    /** Bookings that were confirmed to their caller and did not run. */
    readonly lostBookings: number;
    /** Times that a router went back to an older version. */
    readonly revertedVersions: number;
}

export function account(
    chats: readonly SeenChat[],
    bookings: readonly SeenBooking[],
    standIns: StandInFleet,
    routers: readonly RunningRouter[],
): Accounting {
    const ranRequests = new Set(
        standIns.backendServers.flatMap(({ server }) => server.engine.record.runs.map(run => run.requestId)),
    );
    const { record } = standIns.services.get("bookings")!;
    const keys = new Set(bookings.map(booking => booking.key));
    return {
        wrongAnswers: chats.filter(chat => chat.status === okStatus && !isRight(chat)).length,
        unknownChats: chats.filter(chat => chat.outcome === "unknown").length,
        falseNotRun: chats.filter(chat => chat.outcome === "not-run" && ranRequests.has(chat.requestId)).length
            + [...keys].filter(key => allNotRun(key, bookings) && record.runsOfKey(key) > 0).length,
        bookingsRunTwice: [...keys].filter(key => record.runsOfKey(key) > 1).length,
        lostBookings: bookings.filter(each => each.status === createdStatus && record.runsOfKey(each.key) !== 1).length,
        revertedVersions: routers.reduce((total, router) => total + countDecreases(router.versions), 0),
    };
}

function isRight(chat: SeenChat): boolean {
    return chat.text === expectedAnswer([{ role: "user", content: chat.content }], chat.maximumTokens).text;
}

function allNotRun(key: string, bookings: readonly SeenBooking[]): boolean {
    return bookings.filter(booking => booking.key === key).every(booking => booking.outcome === "not-run");
}

function countDecreases(versions: readonly number[]): number {
    return versions.filter((version, index) => index > 0 && version <= versions[index - 1]!).length;
}
