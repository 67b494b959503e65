/** Sends placement notices to other routers: one HTTP request with a JSON body for each notice and router. */
import * as z from "zod/mini";
import type { FailureBoundary, FailureReporter } from "../../common/failure-boundary.js";
import type { Logger } from "../../common/logger.js";
import type {
    ByCustomer,
    NoticeSender,
    PlacementNotice,
    ReportListener,
    RouterReport,
    ServerLoads,
    SlowdownReadings,
    WorkLeft,
} from "../../domain/gateway/placement-notice.js";
import { formatSocketAddress, type SocketAddress } from "../../domain/gateway/server-entry.js";
import { maximumLayerCount } from "../../domain/layers.js";
import type { PeerClient } from "./peer-client.js";
import { parsePeerMessage, quantity, wholeNumber } from "./peer-messages.js";

export const noticePath = "/placement-notice";
/** A notice that times out is not sent again; the next notice replaces it. */
const timeoutMilliseconds = 500;
/**
 * Bounds the memory and the descriptors that routers without an answer take. A quarter of 123 routers: while a third of
 * them is dark, a round still takes less than 1 s.
 */
const maximumConcurrentNotices = 32;

/** Sums of fractional tokens may fall below 0 by a rounding error. */
const maximumResidue = 1e-3;

/** Request count and token count, keyed by the ID of the backend server. */
const loadsSchema = z.record(z.string(), z.tuple([wholeNumber(), quantity(-maximumResidue)]));

/** Milliseconds, keyed by the ID of the backend server; missing in messages of routers that report only counts. */
const workSchema = z.optional(z.record(z.string(), quantity(-maximumResidue)));

const layerIndex = () => wholeNumber(maximumLayerCount - 1);
const layersSchema = z.object({ first: layerIndex(), last: layerIndex() })
    .check(z.refine(({ first, last }) => first <= last));

/** Far more than a router of any size reports or limits at a time. */
const maximumCustomersInMessage = 256;
const byCustomer = <Value extends z.ZodMiniType>(value: Value) =>
    z.record(z.string(), z.record(z.string(), value)).check(z.refine(
        services => sizeOf(services) <= maximumCustomersInMessage,
        `at most ${maximumCustomersInMessage} customers`,
    ));

const noticeSchema = z.object({
    sender: z.string(),
    storeEra: z.optional(wholeNumber()),
    servers: z.array(z.object({
        id: z.string(),
        /** Missing in notices of earlier routers for servers whose entries do not state it, which are none. */
        bornAt: z.optional(wholeNumber()),
        layers: z.optional(layersSchema),
        lost: z.boolean(),
    })),
    otherLoads: loadsSchema,
    otherWork: workSchema,
    /** Missing in notices of routers before the shared retry budget. */
    retryGrants: z.optional(z.record(z.string(), quantity())),
    /** Missing in notices of earlier routers; an odd entry is left out, since the rest does not depend on it. */
    slowdowns: z.optional(z.unknown()),
    /** Missing in notices without new limits, as in those of earlier routers. */
    customerLimits: z.optional(byCustomer(z.number().check(z.minimum(0), z.maximum(1)))),
});

const slowdownsSchema = z.record(z.string(), z.unknown());
/** Factor and age in milliseconds, keyed by the ID of the backend server. */
const slowdownSchema = z.tuple([quantity(1), quantity()]);

const reportSchema = z.object({
    loads: loadsSchema,
    work: workSchema,
    retryUsages: z.record(
        z.string(),
        z.object({
            requests: wholeNumber(),
            retries: wholeNumber(),
            /** Missing in reports of earlier routers, as is the age of the records. */
            granted: z.optional(wholeNumber()),
        }),
    ),
    recordedMilliseconds: z.optional(quantity()),
    /** Tokens asked for and taken. Missing in reports without new demand, as in those of earlier routers. */
    customerDemands: z.optional(byCustomer(z.tuple([quantity(), quantity()]))),
});

export function encodeNotice(notice: PlacementNotice): Buffer {
    const { sender, storeEra, servers, otherLoads, otherWork, retryGrants, slowdowns, customerLimits } = notice;
    return Buffer.from(JSON.stringify({
        sender,
        storeEra,
        servers,
        otherLoads: formatLoads(otherLoads),
        otherWork: formatWork(otherWork),
        retryGrants: Object.fromEntries(retryGrants),
        slowdowns: formatSlowdowns(slowdowns),
        customerLimits: customerLimits && formatByCustomer(customerLimits, limit => limit),
    }));
}

/** Throws InvalidPeerMessageError if the text is not a valid placement notice. */
export function decodeNotice(text: string): PlacementNotice {
    const notice = parsePeerMessage("placement notice", noticeSchema, text);
    const { sender, storeEra, servers, otherLoads, otherWork, retryGrants, slowdowns, customerLimits } = notice;
    return {
        sender,
        storeEra,
        servers: servers.flatMap(({ id, bornAt, layers, lost }) =>
            bornAt === undefined ? [] : [{ id, bornAt, layers, lost }]
        ),
        otherLoads: parseLoads(otherLoads),
        otherWork: parseWork(otherWork),
        retryGrants: new Map(Object.entries(retryGrants ?? {})),
        slowdowns: parseSlowdowns(slowdowns),
        customerLimits: customerLimits && parseByCustomer(customerLimits, limit => limit),
    };
}

export function encodeReport({ loads, work, retryUsage, customerDemands }: RouterReport): Buffer {
    return Buffer.from(JSON.stringify({
        loads: formatLoads(loads),
        work: formatWork(work),
        retryUsages: Object.fromEntries(retryUsage.usages),
        recordedMilliseconds: retryUsage.recordedMilliseconds,
        customerDemands: customerDemands && formatByCustomer(customerDemands, ({ asked, taken }) => [asked, taken]),
    }));
}

/** Throws InvalidPeerMessageError if the text is not a valid report. */
export function decodeReport(text: string): RouterReport {
    const report = parsePeerMessage("report of a router", reportSchema, text);
    const { loads, work, retryUsages, recordedMilliseconds, customerDemands } = report;
    const usages = Object.entries(retryUsages).map(([service, { requests, retries, granted }]) =>
        [service, { requests, retries, granted: granted ?? retries }] as const
    );
    return {
        loads: parseLoads(loads),
        work: parseWork(work),
        retryUsage: { usages: new Map(usages), recordedMilliseconds: recordedMilliseconds ?? 0 },
        customerDemands: customerDemands
            && parseByCustomer(customerDemands, ([asked, taken]) => ({ asked, taken })),
    };
}

interface NoticeRound {
    readonly createNotice: (router: SocketAddress) => PlacementNotice;
    readonly onReport: ReportListener;
}

/**
 * Sends each notice to a few routers at a time. A router that has not been sent a notice when the next one is due gets
 * only the newer one, so that a leader that falls behind sends less instead of queueing more.
 */
export class HttpNoticeSender implements NoticeSender {
    private failures = 0;
    private newestRound: NoticeRound | undefined;
    /** Routers to which the newest notice has yet to be sent, by address; those that wait longest first. */
    private readonly waiting = new Map<string, SocketAddress>();
    /** Addresses of routers whose response is awaited. */
    private readonly running = new Set<string>();

    private readonly boundary: FailureBoundary;

    constructor(
        private readonly routers: () => readonly SocketAddress[],
        private readonly client: PeerClient,
        failures: FailureReporter,
        private readonly logger: Logger,
    ) {
        this.boundary = failures.createBoundary("placement notice");
    }

    send(createNotice: (router: SocketAddress) => PlacementNotice, onReport: ReportListener): void {
        this.newestRound = { createNotice, onReport };
        this.routers().forEach(router => this.waiting.set(formatSocketAddress(router), router));
        this.sendToWaiting();
    }

    private sendToWaiting(): void {
        const round = this.newestRound;
        for (const [address, router] of this.waiting) {
            if (round === undefined || this.running.size >= maximumConcurrentNotices) {
                return;
            }
            if (!this.running.has(address)) {
                this.waiting.delete(address);
                this.running.add(address);
                this.boundary.run(() => this.sendTo(router, round));
            }
        }
    }

    private async sendTo(router: SocketAddress, { createNotice, onReport }: NoticeRound): Promise<void> {
        try {
            const { text } = await this.client.send(router, {
                method: "POST",
                path: noticePath,
                body: encodeNotice(createNotice(router)),
                timeoutMilliseconds,
            });
            onReport(router, decodeReport(text));
        }
        catch (error) {
            this.failures++;
            this.logger.debug("placement notice to a router failed; the next notice replaces it", {
                router: formatSocketAddress(router),
                failures: this.failures,
                error: String(error),
            });
        }
        finally {
            this.running.delete(formatSocketAddress(router));
            this.sendToWaiting();
        }
    }
}

function formatLoads(loads: ServerLoads): Record<string, [number, number]> {
    return Object.fromEntries([...loads].map(([id, { requests, tokens }]) => [id, [requests, tokens]]));
}

function parseLoads(loads: z.infer<typeof loadsSchema>): ServerLoads {
    return new Map(
        Object.entries(loads).map(([id, [requests, tokens]]) => [id, { requests, tokens: Math.max(0, tokens) }]),
    );
}

/** Undefined, which JSON leaves out, if there are none. */
function formatSlowdowns(slowdowns: SlowdownReadings): Record<string, [number, number]> | undefined {
    return slowdowns.size === 0
        ? undefined
        : Object.fromEntries(
            [...slowdowns].map(([id, { factor, ageMilliseconds }]) => [
                id,
                [roundToTenths(factor), Math.round(ageMilliseconds)],
            ]),
        );
}

function roundToTenths(value: number): number {
    return Math.round(value * 10) / 10;
}

function parseSlowdowns(value: unknown): SlowdownReadings {
    const { data: entries } = slowdownsSchema.safeParse(value);
    return new Map(
        Object.entries(entries ?? {}).flatMap(([id, entry]) => {
            const { data } = slowdownSchema.safeParse(entry);
            return data === undefined ? [] : [[id, { factor: data[0], ageMilliseconds: data[1] }] as const];
        }),
    );
}

function sizeOf(services: Readonly<Record<string, object>>): number {
    return Object.values(services).reduce((sum, customers) => sum + Object.keys(customers).length, 0);
}

function formatByCustomer<Value, Formatted>(
    services: ByCustomer<Value>,
    format: (value: Value) => Formatted,
): Record<string, Record<string, Formatted>> {
    return Object.fromEntries([...services].map(([service, customers]) => [
        service,
        Object.fromEntries([...customers].map(([customer, value]) => [customer, format(value)])),
    ]));
}

function parseByCustomer<Value, Parsed>(
    services: Readonly<Record<string, Readonly<Record<string, Value>>>>,
    parse: (value: Value) => Parsed,
): ByCustomer<Parsed> {
    return new Map(
        Object.entries(services).map(([service, customers]) => [
            service,
            new Map(Object.entries(customers).map(([customer, value]) => [customer, parse(value)])),
        ]),
    );
}

function formatWork(work: WorkLeft | undefined): Record<string, number> | undefined {
    return work === undefined || work.size === 0
        ? undefined
        : Object.fromEntries([...work].map(([id, milliseconds]) => [id, Math.round(milliseconds)]));
}

function parseWork(work: z.infer<typeof workSchema>): WorkLeft | undefined {
    return work && new Map(Object.entries(work).map(([id, milliseconds]) => [id, Math.max(0, milliseconds)]));
}
