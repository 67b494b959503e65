/**
 * Notices that the placement leader sends to the other routers, and the reports that they return. Notices arrive earlier
 * than changes of the registry, and also while the store is unavailable.
 */
import type { LayerRange } from "../layers.js";
import type { ServerStart, SocketAddress } from "./server-entry.js";

/** Concerns one start of a server. */
export interface ServerNotice extends ServerStart {
    /** Layers that the server reported as loaded; undefined if it holds none or is dropping them. */
    readonly layers: LayerRange | undefined;
    /** Whether the server is unreachable or has reported that it is leaving. */
    readonly lost: boolean;
}

/** The running requests on one backend server. */
export interface RunningLoad {
    readonly requests: number;
    /** Prompt tokens and expected output tokens of these requests. */
    readonly tokens: number;
}

/** Keyed by backend server ID. */
export type ServerLoads = ReadonlyMap<string, RunningLoad>;

/** Run time in milliseconds that the running plain requests on each server are expected to need yet, by its ID. */
export type WorkLeft = ReadonlyMap<string, number>;

/** What one router has sent to one service in the current window of the retry budget. */
export interface RetryUsage {
    readonly requests: number;
    readonly retries: number;
    /** Those of the retries that the placement leader has granted. */
    readonly granted: number;
}

/** What one router has used of the retry budget. */
export interface RetryUsageReport {
    /** Keyed by service. */
    readonly usages: ReadonlyMap<string, RetryUsage>;
    /** Age of the router's records: it does not know what its former process has used. */
    readonly recordedMilliseconds: number;
}

/** Retries that a router may make until the next notice, keyed by service; fractions are chances of one more. */
export type RetryGrants = ReadonlyMap<string, number>;

/** What an engine stated about its own speed. */
export interface ServerSlowdown {
    /** Factor on the duration of its work; 1 is nominal. */
    readonly factor: number;
    /** Time since the engine was asked. It grows with each message, so that passing it on does not keep it alive. */
    readonly ageMilliseconds: number;
}

/** Keyed by backend server ID. */
export type SlowdownReadings = ReadonlyMap<string, ServerSlowdown>;

/** Prompt tokens and expected output tokens of a customer's requests. */
export interface CustomerDemand {
    /** Of all requests, repeated tries of the customer's clients included. */
    readonly asked: number;
    /** Of the requests that were sent to backend servers. */
    readonly taken: number;
}

/** Values by service and customer. Requests without a customer form a group with an empty name. */
export type ByCustomer<Value> = ReadonlyMap<string, ReadonlyMap<string, Value>>;

/** What a router reports in response to a notice. */
export interface RouterReport {
    readonly loads: ServerLoads;
    /** Missing in reports of routers that report only counts. */
    readonly work?: WorkLeft;
    readonly retryUsage: RetryUsageReport;
    /** What was added since the router's last report; undefined if nothing is to be reported. */
    readonly customerDemands?: ByCustomer<CustomerDemand> | undefined;
}

export interface PlacementNotice {
    readonly sender: string;
    /** Era of the store in which the sender leads; undefined if the store states none. */
    readonly storeEra?: number | undefined;
    readonly servers: readonly ServerNotice[];
    /** Total load of all routers except the receiver. */
    readonly otherLoads: ServerLoads;
    /** Work left of all routers except the receiver. */
    readonly otherWork?: WorkLeft;
    readonly retryGrants: RetryGrants;
    /** Engines that have stated that they are slow. */
    readonly slowdowns: SlowdownReadings;
    /**
     * Customers that ask for more than their share of short room, with the part of their demand that may take room, 0 to 1.
     * Undefined leaves the last limits in force.
     */
    readonly customerLimits?: ByCustomer<number> | undefined;
}

export interface NoticeSender {
    /**
     * Sends a notice to every other router. Each router that accepts its notice responds with its own report. Failures
     * are only logged, since the next notice follows soon.
     */
    send(createNotice: (router: SocketAddress) => PlacementNotice, onReport: ReportListener): void;
}

export type ReportListener = (router: SocketAddress, report: RouterReport) => void;
