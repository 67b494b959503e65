/** Composes the booking service, which runs each booking at most once, with its ledger and outcome recorder. */
import { randomUUID } from "node:crypto";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { LedgerPeers } from "../domain/booking-ledger.js";
import { type Fleet, type RouterMember, RouterState } from "../domain/fleet.js";
import type { KeyValueService } from "../domain/platform.js";
import { maximumAnswerBytes, OutcomeRecorder, ShardedLedger } from "../process/ledger/index.js";
import { BookingService } from "../request/booking/booking-service.js";

export interface BookingComponentsOptions {
    readonly keyValueService: KeyValueService;
    readonly fleet: Fleet;
    readonly peers?: LedgerPeers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class BookingComponents {
    readonly ledger: ShardedLedger;
    readonly outcomes: OutcomeRecorder;
    readonly service: BookingService;

    constructor(options: BookingComponentsOptions) {
        const { fleet, metrics } = options;
        const logger = options.logger.withLabel("bookings");
        this.ledger = new ShardedLedger({
            keyValueService: options.keyValueService,
            routerId: fleet.self.id,
            liveRouters: () => fleet.members().filter(mayStillServe).map(member => member.id),
            peers: options.peers,
            wallClock: Date.now,
            logger,
            metrics,
        });
        this.outcomes = new OutcomeRecorder(this.ledger, logger, metrics);
        this.service = new BookingService({
            ledger: this.ledger,
            recordOutcome: (key, claimId, outcome) => this.outcomes.record(key, claimId, outcome),
            routerId: fleet.self.id,
            routerIncarnation: fleet.self.incarnation,
            isRouterAlive: (routerId, incarnation) =>
                fleet.members().some(member =>
                    member.id === routerId && member.incarnation >= incarnation && mayStillServe(member)
                ),
            createClaimId: randomUUID,
            wallClock: Date.now,
            maximumRecordedBodyBytes: maximumAnswerBytes,
            logger,
            metrics,
        });
    }
}

/** A suspected router counts as serving, since it may still be running the bookings that it claimed. */
function mayStillServe(member: RouterMember): boolean {
    return member.state === RouterState.alive || member.state === RouterState.suspect;
}
