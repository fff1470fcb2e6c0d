/* Reads the list of VMs from the platform, or else from the pst-controld. */
#ifndef PSTCTL_MEMBERS_H
#define PSTCTL_MEMBERS_H

#include "pstctl/cmd.h"

/*
 * Returns 0 and a reference that the caller puts, or PST_ERR_UNAVAILABLE when
 * neither the platform nor the pst-controld at vm.address answers.
 */
int members_read(struct cmd *cmd, struct vmlist **out);

#endif
