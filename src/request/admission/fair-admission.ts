/**
 * Admission by tokens of work: limits for each customer, weighted fair queueing among customers up to an adaptive
 * limit on the work under way, and early refusal of what could not be answered in time.
 */
import { monotonicNow } from "../../common/clock.js";
import type { Logger } from "../../common/logger.js";
import type { Metrics } from "../../common/metrics.js";
import { CallerGoneError, DeadlineUnreachableError, LimitExceededError } from "../../errors/index.js";
import type { CustomerLimits } from "../../process/customer-limits/customer-limits.js";
import { RateMeter } from "../../process/customer-limits/rate-meter.js";
import type { AdaptiveTokenLimit } from "./adaptive-token-limit.js";
import { maximumQueuedRequests, maximumQueueMilliseconds } from "./constants.js";
import { FairQueue, type QueueEntry } from "./fair-queue.js";
import type { Admission, AdmissionRequest, AdmissionTicket } from "./types.js";
import { WorkEstimates } from "./work-estimates.js";

const serviceRateWindowMilliseconds = 3_000;
const millisecondsPerSecond = 1000;
const maximumRetryAfterSeconds = 60;
const creditSeconds = 5;

export interface FairAdmissionDependencies {
    readonly limits: Pick<CustomerLimits, "tryTake" | "correct">;
    readonly tokenLimit: AdaptiveTokenLimit;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

interface WaitingRequest extends QueueEntry {
    readonly request: AdmissionRequest;
    readonly queuedAt: number;
    readonly admit: (ticket: AdmissionTicket) => void;
    readonly refuse: (error: Error) => void;
}

export class FairAdmission implements Admission {
    private readonly queue = new FairQueue<WaitingRequest>();
    private readonly estimates = new WorkEstimates();
    private readonly serviceRate = new RateMeter(serviceRateWindowMilliseconds);
    private tokensUnderWay = 0;

    constructor(private readonly dependencies: FairAdmissionDependencies) {}

    /** Requests that wait now. */
    get queuedRequests(): number {
        return this.queue.size;
    }

    async admit(request: AdmissionRequest): Promise<AdmissionTicket> {
        if (request.signal?.aborted) {
            throw new CallerGoneError();
        }
        const tokens = this.estimates.tokens(request.route.name, request.tokens);
        this.refuseHopeless(request, tokens);
        this.takeFromLimit(request, tokens);
        return this.enqueue(request, tokens);
    }

    private refuseHopeless(request: AdmissionRequest, tokens: number): void {
        const { name, weight } = request.customer;
        if (this.queue.lengthOf(name) >= maximumQueuedRequests) {
            this.refused(request, "queue-full");
            throw new LimitExceededError(name, retryAfterSeconds(this.expectedWait(name, weight, tokens)));
        }
        const wait = this.expectedWait(name, weight, tokens);
        const remaining = request.deadline - monotonicNow();
        const run = this.estimates.runMilliseconds(request.route.name, tokens);
        if (remaining <= 0 || wait > maximumQueueMilliseconds || (wait > 0 && wait + run > remaining)) {
            this.refused(request, "too-late");
            throw new DeadlineUnreachableError(retryAfterSeconds(wait - maximumQueueMilliseconds));
        }
    }

    private takeFromLimit(request: AdmissionRequest, tokens: number): void {
        const decision = this.dependencies.limits.tryTake(request.customer, tokens);
        if (!decision.allowed) {
            this.refused(request, "customer-limit");
            throw new LimitExceededError(
                request.customer.name,
                Math.min(maximumRetryAfterSeconds, decision.retryAfterSeconds),
            );
        }
    }

    /** Milliseconds in the queue, by how fast work is finished at present. */
    private expectedWait(customer: string, weight: number, tokens: number): number {
        if (this.queue.size === 0 && this.fits(tokens)) {
            return 0;
        }
        const rate = this.serviceRate.perSecond;
        if (rate <= 0 || this.serviceRate.ageMilliseconds < serviceRateWindowMilliseconds) {
            return 0;
        }
        const distance = this.queue.distance(customer, weight, this.credit(customer, weight));
        return (distance * this.queue.activeWeight(customer, weight) * millisecondsPerSecond) / rate;
    }

    private enqueue(request: AdmissionRequest, tokens: number): Promise<AdmissionTicket> {
        return new Promise<AdmissionTicket>((resolve, reject) => {
            const leave = (error: Error) => {
                this.queue.remove(entry);
                this.dependencies.limits.correct(request.customer, -tokens);
                entry.refuse(error);
                this.serve();
            };
            const callerGone = () => leave(new CallerGoneError());
            const expire = () => {
                this.refused(request, "waited-too-long");
                leave(new DeadlineUnreachableError(1));
            };
            const patience = Math.min(request.deadline - monotonicNow(), maximumQueueMilliseconds);
            const timer = setTimeout(expire, patience);
            const settle = () => {
                clearTimeout(timer);
                request.signal?.removeEventListener("abort", callerGone);
            };
            const entry: WaitingRequest = {
                customer: request.customer.name,
                weight: request.customer.weight,
                priority: request.route.priority,
                tokens,
                request,
                queuedAt: monotonicNow(),
                admit: ticket => {
                    settle();
                    resolve(ticket);
                },
                refuse: error => {
                    settle();
                    reject(error);
                },
            };
            request.signal?.addEventListener("abort", callerGone);
            this.queue.push(entry, this.credit(entry.customer, entry.weight));
            this.serve();
        });
    }

    /** What a customer may catch up with: the work of its share in the last few seconds. */
    private credit(customer: string, weight: number): number {
        return (this.serviceRate.perSecond * creditSeconds) / this.queue.activeWeight(customer, weight);
    }

    /** Admits in fair order while there is room. */
    private serve(): void {
        for (let entry = this.queue.peek(); entry !== undefined && this.fits(entry.tokens); entry = this.queue.peek()) {
            this.queue.shift();
            this.tokensUnderWay += entry.tokens;
            this.dependencies.tokenLimit.used(this.tokensUnderWay);
            entry.admit(this.createTicket(entry));
        }
        if (this.queue.size > 0) {
            this.dependencies.tokenLimit.used(this.dependencies.tokenLimit.tokens);
        }
    }

    /** Work larger than the whole limit runs alone. */
    private fits(tokens: number): boolean {
        return this.tokensUnderWay === 0 || this.tokensUnderWay + tokens <= this.dependencies.tokenLimit.tokens;
    }

    private createTicket(entry: WaitingRequest): AdmissionTicket {
        const admittedAt = monotonicNow();
        const queuedMilliseconds = admittedAt - entry.queuedAt;
        const { request, tokens } = entry;
        let released = false;
        this.dependencies.metrics.timing("pomelostall.admission.queued", queuedMilliseconds);
        return {
            queuedMilliseconds,
            release: usedTokens => {
                if (released) {
                    return;
                }
                released = true;
                this.tokensUnderWay -= tokens;
                this.serviceRate.add(usedTokens);
                this.queue.charge(request.customer.name, request.customer.weight, usedTokens - tokens);
                this.dependencies.limits.correct(request.customer, usedTokens - tokens);
                this.estimates.record(request.route.name, request.tokens, usedTokens, monotonicNow() - admittedAt);
                this.serve();
            },
        };
    }

    private refused(request: AdmissionRequest, reason: string): void {
        this.dependencies.metrics.increment("pomelostall.admission.refused", 1, { reason });
        this.dependencies.logger.decision({
            kind: "admission",
            chosen: "refused",
            over: [],
            reason,
            configurationVersion: 0,
            requestId: request.requestId,
            fields: { customer: request.customer.name, route: request.route.name },
        });
    }
}

function retryAfterSeconds(milliseconds: number): number {
    return Math.min(maximumRetryAfterSeconds, Math.max(1, Math.ceil(milliseconds / millisecondsPerSecond)));
}
