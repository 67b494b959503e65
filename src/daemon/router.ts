/** Composes a router from its parts and gives each its place in the life cycle. */
import { LifeCycle } from "../common/life-cycle.js";
import type { Logger } from "../common/logger.js";
import type { Metrics } from "../common/metrics.js";
import { SystemRandom } from "../common/random.js";
import {
    type BackendServerConnectionSettings,
    defaultBackendServerConnectionSettings,
    HttpBackendServerConnections,
} from "../connection/backend-server/index.js";
import type { ConfigurationSource } from "../domain/configuration.js";
import { NotFoundError } from "../errors/index.js";
import { DrainController } from "../process/drain/drain-controller.js";
import { HttpListener } from "../process/http/http-listener.js";
import { OutlierEjection } from "../process/outlier-ejection/outlier-ejection.js";
import { HttpPlatformClient, HttpVmList } from "../process/platform/index.js";
import { TokenRetryBudgets } from "../process/retry-budgets/token-retry-budgets.js";
import type { RouterSettings } from "../process/settings/schema.js";
import type { Admission } from "../request/admission/types.js";
import { PipelineAnswerService } from "../request/answer/pipeline-answer-service.js";
import { ChatHandler } from "../request/chat/chat-handler.js";
import { CallerHandler } from "../request/http/caller-handler.js";
import { ModelsHandler } from "../request/models/models-handler.js";
import { InterimChooser } from "./interim-chooser.js";

export interface RouterDependencies {
    readonly settings: RouterSettings;
    readonly configurations: ConfigurationSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
}

/** A whole router. */
export class Router {
    readonly drain: DrainController;
    private readonly lifeCycle: LifeCycle;
    private readonly callers: HttpListener;

    constructor(dependencies: RouterDependencies) {
        const { settings, configurations, logger, metrics } = dependencies;
        const random = new SystemRandom();
        this.lifeCycle = new LifeCycle(logger);
        this.drain = new DrainController(settings.drain, logger.withLabel("drain"));
        const vmList = new HttpVmList(new HttpPlatformClient(settings.platform.vmListAddresses));
        const connections = new HttpBackendServerConnections({
            settings: connectionSettings(settings),
            logger: logger.withLabel("backend-servers"),
            metrics,
            random,
        });
        const chooser = new InterimChooser();
        const health = new OutlierEjection({ poolOf: id => [id] }, () => undefined, logger, metrics);
        const answers = new PipelineAnswerService({
            chooser,
            connections,
            ledger: chooser,
            health,
            retryBudgets: new TokenRetryBudgets(),
            random,
            logger: logger.withLabel("answers"),
            metrics,
        });
        const admission: Admission = { admit: async () => ({ queuedMilliseconds: 0, release: () => undefined }) };
        const chat = new ChatHandler(admission, answers, metrics, {
            bodyLimits: {
                maximumBytes: settings.callers.maximumBodyBytes,
                timeoutMilliseconds: settings.callers.bodyTimeoutMilliseconds,
            },
            maximumTimeoutMilliseconds: settings.callers.maximumTimeoutMilliseconds,
        });
        const models = new ModelsHandler();
        const handler = new CallerHandler(
            configurations,
            this.drain,
            {
                chat: exchange => chat.handle(exchange),
                listModels: exchange => models.list(exchange),
                retrieveModel: (exchange, name) => models.retrieve(exchange, name),
                service: (_exchange, name) => Promise.reject(new NotFoundError(`There is no service ${name}.`)),
            },
            () => this.drain.ready && configurations.current.version > 0,
            metrics,
            logger.withLabel("callers"),
        );
        this.callers = new HttpListener({
            name: "callers",
            host: settings.callers.host,
            port: settings.callers.port,
            headersTimeoutMilliseconds: settings.callers.headersTimeoutMilliseconds,
            requestTimeoutMilliseconds: settings.callers.headersTimeoutMilliseconds
                + settings.callers.bodyTimeoutMilliseconds,
            maximumConnections: settings.callers.maximumConnections,
        }, handler.listener);
        this.lifeCycle.add({
            name: "backend servers",
            start: () => chooser.refresh(vmList, connections),
            stop: async () => connections.close(),
        });
        this.lifeCycle.add(this.callers);
    }

    /** Base URL for callers; known after start. */
    get callersAddress(): string {
        return this.callers.address;
    }

    start(): Promise<void> {
        return this.lifeCycle.start();
    }

    /** Drains, then stops every part. */
    async stop(): Promise<void> {
        await this.drain.drain();
        await this.lifeCycle.stop();
    }
}

function connectionSettings(settings: RouterSettings): BackendServerConnectionSettings {
    return {
        ...defaultBackendServerConnectionSettings,
        silenceMilliseconds: settings.backendServers.silenceMilliseconds,
        connectTimeoutMilliseconds: settings.backendServers.connectTimeoutMilliseconds,
    };
}
