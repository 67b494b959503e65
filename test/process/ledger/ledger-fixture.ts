/** Routers with real ledgers and booking services on one in-process platform, and a plain service that counts runs. */
import { monotonicNow } from "../../../src/common/clock.js";
import { SilentLogger } from "../../../src/common/logger.js";
import { SilentMetrics } from "../../../src/common/metrics.js";
import type { LedgerOperation, LedgerPeers, LedgerResult } from "../../../src/domain/booking-ledger.js";
import { PlatformUnavailableError } from "../../../src/errors/index.js";
import { maximumAnswerBytes, OutcomeRecorder, ShardedLedger } from "../../../src/process/ledger/index.js";
import { BookingService } from "../../../src/request/booking/booking-service.js";
import type { BookingDispatchResult, BookingRequest, BookingResponse } from "../../../src/request/booking/types.js";
import { StandInPlatform } from "../../../src/stand-ins/platform/index.js";

const pauseCheckIntervalMilliseconds = 100;

/** A plain service that books trucks and counts how often each booking ran. */
export class CountingService {
    readonly runs = new Map<string, number>();
    readonly runsByRequest = new Map<string, number>();
    /** How calls are handled from now on: answered, refused before they run, or run with the answer lost. */
    behaviour: "answer" | "refuse" | "run-and-lose" = "answer";
    latencyMilliseconds = 0;

    async call(name: string, requestId = ""): Promise<BookingDispatchResult> {
        const { behaviour } = this;
        if (this.latencyMilliseconds > 0) {
            await new Promise(resolve => setTimeout(resolve, this.latencyMilliseconds));
        }
        if (behaviour === "refuse") {
            return { kind: "not-run", error: new PlatformUnavailableError("the service refused", false) };
        }
        this.runs.set(name, (this.runs.get(name) ?? 0) + 1);
        this.runsByRequest.set(requestId, (this.runsByRequest.get(requestId) ?? 0) + 1);
        if (behaviour === "run-and-lose") {
            return { kind: "unknown", error: new PlatformUnavailableError("the answer was lost", true) };
        }
        const body = new TextEncoder().encode(`${name} run ${this.runs.get(name)}`);
        return { kind: "response", response: { status: 201, contentType: "text/plain", body } };
    }
}

export class LedgerRouter implements LedgerPeers {
    readonly platform: StandInPlatform;
    readonly ledger: ShardedLedger;
    readonly recorder: OutcomeRecorder;
    readonly bookings: BookingService;
    alive = true;
    /** Simulates a suspended process: peers receive no answer, and bookings do not continue. */
    paused = false;

    constructor(readonly id: string, private readonly fixture: LedgerFixture) {
        this.platform = fixture.platform.createClient();
        const logger = new SilentLogger();
        const metrics = new SilentMetrics();
        this.ledger = new ShardedLedger({
            keyValueService: this.platform,
            routerId: id,
            liveRouters: () => fixture.liveIds(),
            peers: this,
            wallClock: () => fixture.wallClock(),
            logger,
            metrics,
        });
        this.recorder = new OutcomeRecorder(this.ledger, logger, metrics);
        this.bookings = new BookingService({
            ledger: { submit: (operation, timeout) => this.submitAndWaitWhilePaused(operation, timeout) },
            recordOutcome: (key, claimId, outcome) => this.recorder.record(key, claimId, outcome),
            routerId: id,
            routerIncarnation: 1,
            isRouterAlive: routerId => fixture.liveIds().includes(routerId),
            createClaimId: () => `claim-${++fixture.claimCount}`,
            wallClock: () => fixture.wallClock(),
            maximumRecordedBodyBytes: maximumAnswerBytes,
            logger,
            metrics,
        });
    }

    /** Delays the ledger's result while the router is paused; after a crash, the result never arrives. */
    private async submitAndWaitWhilePaused(
        operation: LedgerOperation,
        timeoutMilliseconds: number,
    ): Promise<LedgerResult> {
        try {
            return await this.ledger.submit(operation, timeoutMilliseconds);
        }
        finally {
            while (this.paused || !this.alive) {
                await new Promise(resolve => setTimeout(resolve, pauseCheckIntervalMilliseconds));
            }
        }
    }

    /** Simulates the end of the process: its pending operations never continue. */
    async crash(): Promise<void> {
        this.alive = false;
        await this.ledger.stop();
    }

    /** Forwards an operation to another router, as the peer protocol does. */
    submit(routerId: string, operation: LedgerOperation, timeoutMilliseconds: number): Promise<LedgerResult> {
        const peer = this.fixture.routers.find(router => router.id === routerId);
        const answer = peer === undefined || !peer.alive || peer.paused
            ? new Promise<LedgerResult>(() => undefined)
            : peer.ledger.submitLocally(operation, timeoutMilliseconds);
        const timeout = new Promise<LedgerResult>((_resolve, reject) => {
            setTimeout(() => reject(new PlatformUnavailableError("no answer", true)), timeoutMilliseconds);
        });
        return Promise.race([answer, timeout]);
    }

    book(
        idempotencyKey: string,
        content = "truck",
        timeoutMilliseconds = 5_000,
        requestId = `request-${++this.fixture.requestCount}`,
    ): Promise<BookingResponse> {
        const request: BookingRequest = {
            requestId,
            customer: "yard",
            service: "bookings",
            idempotencyKey,
            method: "POST",
            path: "/trucks",
            body: new TextEncoder().encode(content),
            deadline: monotonicNow() + timeoutMilliseconds,
        };
        return this.bookings.book(request, () => this.fixture.service.call(idempotencyKey, requestId));
    }
}

export class LedgerFixture {
    readonly platform = new StandInPlatform();
    readonly service = new CountingService();
    readonly routers: LedgerRouter[] = [];
    claimCount = 0;
    requestCount = 0;
    /** Added to the wall clock. */
    wallClockOffsetMilliseconds = 0;

    add(): LedgerRouter {
        const router = new LedgerRouter(`router-${this.routers.length}`, this);
        this.routers.push(router);
        return router;
    }

    liveIds(): string[] {
        return this.routers.filter(router => router.alive).map(router => router.id);
    }

    wallClock(): number {
        return Date.now() + this.wallClockOffsetMilliseconds;
    }

    async stop(): Promise<void> {
        await Promise.all(this.routers.map(router => router.ledger.stop()));
        this.platform.close();
    }
}
