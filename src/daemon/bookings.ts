/** The parts that make bookings run at most once. */
import { randomUUID } from "node:crypto";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import type { LedgerPeers } from "../domain/booking-ledger.js";
import { type Fleet, type RouterMember, RouterState } from "../domain/fleet.js";
import type { KeyValueService } from "../domain/platform.js";
import { maximumAnswerBytes, OutcomeRecorder, ShardedLedger } from "../process/ledger/index.js";
import { BookingService } from "../request/booking/booking-service.js";

export interface BookingPartsOptions {
    readonly keyValueService: KeyValueService;
    readonly fleet: Fleet;
    readonly peers?: LedgerPeers;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

export class BookingParts {
    readonly ledger: ShardedLedger;
    readonly outcomes: OutcomeRecorder;
    readonly service: BookingService;

    constructor(options: BookingPartsOptions) {
        const { fleet, metrics } = options;
        const logger = options.logger.withLabel("bookings");
        this.ledger = new ShardedLedger({
            keyValueService: options.keyValueService,
            routerId: fleet.self.id,
            liveRouters: () => fleet.members().filter(isServing).map(member => member.id),
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
                    member.id === routerId && member.incarnation >= incarnation && isServing(member)
                ),
            createClaimId: randomUUID,
            wallClock: Date.now,
            maximumAnswerBytes,
            logger,
            metrics,
        });
    }
}

/** A suspected router may still run what it claimed. */
function isServing(member: RouterMember): boolean {
    return member.state === RouterState.alive || member.state === RouterState.suspect;
}
