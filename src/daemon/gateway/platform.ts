/** Interfaces that an adapter implements to run a gateway on a given platform. */
import type { Dialect } from "../../domain/gateway/dialect.js";
import type { MetadataStore } from "../../domain/gateway/metadata-store.js";
import type { StoreLayout } from "../../domain/gateway/store-layout.js";

export interface GatewayPlatform {
    readonly store: MetadataStore;
    readonly layout: StoreLayout;
    readonly dialect: Dialect;
}
