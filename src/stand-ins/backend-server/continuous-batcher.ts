/** Continuous batching: each step computes a share of each job that fits into it, in order of priority. */
import { layerCount, type LayerRange } from "../../domain/layers.js";
import { fixedStepCostShare, fullBatchTokens, maximumStepTokens } from "./constants.js";

/** Tokens to compute through a layer range. A lower `priority` value runs first. */
export interface BatchJob {
    readonly attemptId: string;
    readonly priority: number;
    readonly layers: LayerRange;
    tokens: number;
    /** Called once, when all tokens have been computed. */
    readonly onDone: () => void;
}

/** The part of a job's tokens that one step computes. */
interface StepShare {
    readonly job: BatchJob;
    readonly tokens: number;
}

export class ContinuousBatcher {
    private jobs: BatchJob[] = [];
    private timer: ReturnType<typeof setTimeout> | undefined;
    private stalled = false;
    /** Duration of the last step. */
    lastStepMilliseconds = 0;
    /** Number of jobs that did not fit into the last step. */
    lastStepQueuedJobs = 0;

    constructor(private readonly layerTokensPerSecond: number) {}

    submit(job: BatchJob): void {
        let index = this.jobs.length;
        while (index > 0 && this.jobs[index - 1]!.priority > job.priority) {
            index--;
        }
        this.jobs.splice(index, 0, job);
        this.schedule();
    }

    /** Removes the pending jobs of an attempt. */
    remove(attemptId: string): void {
        this.jobs = this.jobs.filter(job => job.attemptId !== attemptId);
    }

    clear(): void {
        this.jobs = [];
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /** Stops or resumes computing. A step that ends while stalled has no effect; its tokens are computed again. */
    setStalled(stalled: boolean): void {
        this.stalled = stalled;
        if (!stalled) {
            this.schedule();
        }
    }

    get pendingTokens(): number {
        return this.jobs.reduce((total, job) => total + job.tokens, 0);
    }

    private schedule(): void {
        if (this.timer !== undefined || this.stalled || this.jobs.length === 0) {
            return;
        }
        const shares = this.selectShares();
        this.lastStepQueuedJobs = this.jobs.length - shares.length;
        this.lastStepMilliseconds = stepMilliseconds(shares, this.layerTokensPerSecond);
        this.timer = setTimeout(() => this.finish(shares), this.lastStepMilliseconds);
    }

    private selectShares(): StepShare[] {
        const shares: StepShare[] = [];
        let remainingTokens = maximumStepTokens;
        for (const job of this.jobs) {
            if (remainingTokens === 0) {
                break;
            }
            const tokens = Math.min(job.tokens, remainingTokens);
            remainingTokens -= tokens;
            shares.push({ job, tokens });
        }
        return shares;
    }

    private finish(shares: readonly StepShare[]): void {
        this.timer = undefined;
        if (this.stalled) {
            return;
        }
        const pendingJobs = new Set(this.jobs);
        const finished = shares.filter(share => pendingJobs.has(share.job) && (share.job.tokens -= share.tokens) <= 0);
        const done = new Set(finished.map(share => share.job));
        this.jobs = this.jobs.filter(job => !done.has(job));
        for (const job of done) {
            job.onDone();
        }
        this.schedule();
    }
}

/** Duration of a step; one below a full batch also takes a share of the fixed cost, counted in equivalent tokens. */
function stepMilliseconds(shares: readonly StepShare[], layerTokensPerSecond: number): number {
    const tokens = shares.reduce((total, share) => total + share.tokens, 0);
    const layerTokens = shares.reduce((total, share) => total + share.tokens * layerCount(share.job.layers), 0);
    const fixedCostTokens = Math.max(0, 1 - tokens / fullBatchTokens) * fixedStepCostShare * fullBatchTokens;
    return (layerTokens * (1 + fixedCostTokens / tokens) * 1000) / layerTokensPerSecond;
}
